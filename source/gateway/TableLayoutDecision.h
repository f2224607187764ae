#pragma once

#include "gateway/RowStore.h"
#include "state/Backoff.h"

#include <optional>
#include <set>
#include <variant>

namespace lagoontiller::gateway {

/// \brief Read the layout row.
struct ReadLayoutRow {
    [[nodiscard]] bool operator==(const ReadLayoutRow&) const = default;
};

/// \brief Find out whether the parts that previous versions use contain any row.
struct ReadTables {
    [[nodiscard]] bool operator==(const ReadTables&) const = default;
};

/// \brief Write the layout row under the condition that it does not exist.
struct WriteLayoutRow {
    std::uint64_t parts = 0;
    [[nodiscard]] bool operator==(const WriteLayoutRow&) const = default;
};

/// \brief Why the number is not known yet.
enum class LayoutObstacle : int {
    /// \brief Other nodes record the number first, or are not known yet.
    None,
    /// \brief The store did not execute or answer a call.
    StoreUnavailable,
    /// \brief The layout row is no number in the valid range.
    RowUnreadable,
    /// \brief The layout row exists, but the store's answers do not contain it.
    RowHidden,
    /// \brief There is no layout row, and running nodes state different numbers or an invalid one.
    NodesDisagree,
};

/// \brief Call `timePassed` at this time.
struct WaitUntil {
    core::TimePoint at {};
    LayoutObstacle obstacle = LayoutObstacle::None;
    [[nodiscard]] bool operator==(const WaitUntil&) const = default;
};

/// \brief The number is known; nothing else is to be done.
struct LayoutKnown {
    std::uint64_t parts = 0;
    /// \brief Whether this node wrote the row.
    bool recorded = false;
    [[nodiscard]] bool operator==(const LayoutKnown&) const = default;
};

using LayoutStep = std::variant<ReadLayoutRow, ReadTables, WriteLayoutRow, WaitUntil, LayoutKnown>;

/// \brief Decides which number of table parts holds, without access to the network.
///
/// A readable layout row decides. Without it, the number that running nodes state decides, so that nodes of previous
/// versions and a removed row do not divide the fleet. Otherwise tables with rows have the number of previous versions,
/// and empty ones get that of the setting. Guards against nodes that look for the same row in different parts.
class TableLayoutDecision {
public:
    /// \brief `setting` is the number that the node records in an empty store.
    TableLayoutDecision(std::uint64_t setting, std::uint64_t seed);

    [[nodiscard]] const LayoutStep& nextStep() const noexcept { return this->step; }

    /// \brief Ends ReadLayoutRow: the value of the row, empty if it does not exist. `stated` are the numbers that other
    /// nodes state; empty while they are not known.
    void rowRead(const StoreResult<std::optional<std::string>>& value,
        const std::optional<std::set<std::uint64_t>>& stated, core::TimePoint now);
    /// \brief Ends ReadTables: whether any row was found.
    void tablesRead(const StoreResult<bool>& anyRow, core::TimePoint now);
    /// \brief Ends WriteLayoutRow: whether the row was written.
    void rowWritten(const StoreResult<bool>& applied, core::TimePoint now);
    /// \brief Ends WaitUntil if its time has come.
    void timePassed(core::TimePoint now);

private:
    void decideWithoutRow(const std::optional<std::set<std::uint64_t>>& stated, core::TimePoint now);
    void retryAfterFailure(core::TimePoint now);

    std::uint64_t setting;
    state::Generator random;
    state::Backoff backoff;
    LayoutStep step { ReadLayoutRow {} };
    bool hasYielded = false;
    /// \brief The last write failed because the row exists.
    bool writeRefused = false;
};

/// \brief The number in a layout row; empty if the text is no decimal number in the valid range.
[[nodiscard]] std::optional<std::uint64_t> parseTableParts(std::string_view text);

} // namespace lagoontiller::gateway
