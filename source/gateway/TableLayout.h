#pragma once

#include "gateway/StoreHealth.h"
#include "gateway/TableLayoutDecision.h"
#include "gateway/TableParts.h"

namespace lagoontiller::gateway {

struct TableLayoutEvents {
    /// \brief Numbers of table parts that other nodes state; empty while they are not known.
    std::function<std::optional<std::set<std::uint64_t>>()> statedParts;
    /// \brief The number is known; called once.
    std::function<void(std::uint64_t parts)> known;
};

/// \brief Determines the number of table parts from the store's layout row when the node starts, and records it if
/// there is none (TableLayoutDecision).
///
/// The number in force never changes while the process runs. Until it is known, the node must neither serve calls nor
/// answer other nodes.
class TableLayout {
public:
    static constexpr auto table = "table_layout";
    static constexpr auto key = "parts";

    /// \brief `tables` are those whose rows are distributed over the parts; `parts` receives the number.
    TableLayout(RowStore& store, const StoreHealth& storeHealth, TableParts& parts, std::uint64_t setting,
        std::vector<std::string> tables, TableLayoutEvents events, std::uint64_t seed);

    /// \brief Continues after delays; call several times a second. Once the number is known, warns of nodes that use
    /// another one.
    void tick(core::TimePoint now);
    /// \brief Warns if the number in force is another one than the setting.
    void compareWithSetting(std::uint64_t setting) const;

private:
    void perform(const ReadLayoutRow& step);
    void perform(const ReadTables& step);
    void perform(const WriteLayoutRow& step);
    void perform(const WaitUntil& step);
    void perform(const LayoutKnown& step);
    /// \brief Performs the next step of the decision.
    void proceed();
    /// \brief Reads the first row of each part of a table, and goes on with the next table if there is none.
    void readTable(std::size_t number);
    void warnOfOtherNodes(core::TimePoint now);

    RowStore& store;
    const StoreHealth& storeHealth;
    TableParts& parts;
    std::uint64_t setting;
    std::vector<std::string> tables;
    TableLayoutEvents events;
    TableLayoutDecision decision;
    bool callInProgress = false;
    LayoutObstacle loggedObstacle = LayoutObstacle::None;
    /// \brief Value of the last row that could not be read, for the log.
    std::string rowText;
    core::TimePoint nextNodeCheckAt {};
    std::set<std::uint64_t> otherNumbers;
};

} // namespace lagoontiller::gateway
