#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Position of a row in the store.
struct RowKey {
    std::string table;
    std::string part;
    std::string key;
    [[nodiscard]] auto operator<=>(const RowKey&) const = default; // NOLINT(modernize-use-nullptr)
};

struct Row {
    RowKey key;
    std::string value;
    /// \brief Increases with every transaction; 0 stands for a row that does not exist.
    std::uint64_t version = 0;
    /// \brief Whether the row was removed.
    bool removed = false;
    [[nodiscard]] bool operator==(const Row&) const = default;
};

struct RowCondition {
    RowKey key;
    std::uint64_t version = 0;
};

/// \brief Applied atomically; all rows must be in one part.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<Row> puts;
    std::vector<RowKey> removes;
};

enum class StoreFailure : int {
    /// \brief The store did not execute the call.
    NotDone,
    /// \brief The store did not execute the call because of too many calls.
    Overloaded,
    /// \brief No answer: the call may have been executed, or may still be executed while its conditions hold.
    Unknown,
    /// \brief The store no longer has the requested change history.
    HistoryGone,
};

struct TransactionResult {
    /// \brief False if a condition failed; `current` then contains the current rows of the conditions.
    bool applied = false;
    std::uint64_t version = 0;
    std::uint64_t storeMs = 0;
    std::vector<Row> current;
};

struct RowPage {
    std::vector<Row> rows;
    bool more = false;
    std::uint64_t version = 0;
    /// \brief Monotonic clock of the store in milliseconds.
    std::uint64_t storeMs = 0;
};

struct RowRange {
    std::string table;
    std::string part;
    /// \brief First key; empty for the start of the part.
    std::string from;
    /// \brief Key after the last one; empty for the end of the part.
    std::string to;
    std::size_t limit = 500;
};

template <typename T> using StoreResult = tl::expected<T, StoreFailure>;

/// \brief Transactional, durable row storage. Callbacks run on the caller's thread and never before the call has
/// returned.
class RowStore {
public:
    virtual ~RowStore() = default;
    /// \brief Applies the transaction if all of its conditions hold.
    virtual void transact(
        RowTransaction transaction, core::Duration timeout, std::function<void(StoreResult<TransactionResult>)> done)
        = 0;
    /// \brief Reads the rows of the range in key order, up to its limit.
    virtual void read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done) = 0;
    /// \brief Waits up to `wait` for changes of the table after the version `after`.
    virtual void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(StoreResult<RowPage>)> done)
        = 0;
};

} // namespace lagoontiller::gateway
