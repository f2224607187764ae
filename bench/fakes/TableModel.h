#pragma once

#include "tables/Transaction.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::fakes {

/// \brief A scan counts as one read for each page of this many rows or bytes.
inline constexpr std::size_t scanPageRows = 100;
inline constexpr std::size_t scanPageBytes = 1'048'576;

struct TableCounters {
    /// \brief Transactions, committed or not.
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    /// \brief Transactions with a failed condition.
    std::uint64_t conditionalFailures = 0;
    [[nodiscard]] bool operator==(const TableCounters&) const = default;
};

/// \brief In-memory table with row versions and conditional transactions.
class TableModel {
public:
    /// \brief Applies all writes if every condition holds, otherwise none.
    [[nodiscard]] tables::TransactionReply apply(const tables::Transaction& transaction);
    [[nodiscard]] std::optional<tables::Row> read(const std::string& key);
    /// \brief Rows whose key starts with `prefix` and is greater than `after`, in key order.
    ///
    /// Returns at most `limit` rows (0: scanPageRows) and stops after the row that exceeds `scanPageBytes`.
    [[nodiscard]] std::vector<tables::Row> scan(const std::string& prefix, const std::string& after, std::size_t limit);

    [[nodiscard]] const TableCounters& counters() const noexcept { return this->counts; }
    [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }

private:
    struct Stored {
        tables::RowVersion version = 0;
        std::string value;
    };

    [[nodiscard]] tables::RowVersion versionOf(const std::string& key) const;

    std::map<std::string, Stored> rows;
    /// \brief Shared by all rows, so that a deleted and re-created row never gets an earlier version again.
    tables::RowVersion lastVersion = 0;
    TableCounters counts;
};

} // namespace lagoontiller::fakes
