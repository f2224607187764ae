#pragma once

#include "core/Error.h"
#include "tables/Transaction.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::state {

/// \brief Correlates a reply with the effect that requested it. Replies with an id that is not awaited are ignored.
using OperationId = std::uint64_t;

/// \brief Commits a transaction; the reply goes to `onTransaction`. StoreUnavailable means that nothing was sent; after
/// any other error the result is unknown. The runtime answers every operation, with an error after a timeout.
struct WriteTransaction {
    OperationId operation = 0;
    tables::Transaction transaction;
    [[nodiscard]] bool operator==(const WriteTransaction&) const = default;
};

/// \brief Writes an object; the reply goes to `onObjectWritten`.
struct WriteObject {
    OperationId operation = 0;
    std::string key;
    std::string bytes;
    [[nodiscard]] bool operator==(const WriteObject&) const = default;
};

/// \brief Reads a row; the reply goes to `onRow`, as an empty optional when the row does not exist.
struct ReadRow {
    OperationId operation = 0;
    std::string key;
    [[nodiscard]] bool operator==(const ReadRow&) const = default;
};

/// \brief Reads up to `limit` rows with keys that start with `prefix` and are greater than `after`, in key order; the
/// reply goes to `onRows`.
struct ScanRows {
    OperationId operation = 0;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
    [[nodiscard]] bool operator==(const ScanRows&) const = default;
};

/// \brief Reads an object; the reply goes to `onObject`, as an empty optional when the object does not exist.
struct ReadObject {
    OperationId operation = 0;
    std::string key;
    [[nodiscard]] bool operator==(const ReadObject&) const = default;
};

/// \brief Deletes an object without a reply. A failure leaves an unreferenced object in the store.
struct DeleteObject {
    std::string key;
    [[nodiscard]] bool operator==(const DeleteObject&) const = default;
};

using TransactionResult = core::Expected<tables::TransactionReply>;
using RowResult = core::Expected<std::optional<tables::Row>>;
using RowsResult = core::Expected<std::vector<tables::Row>>;
using ObjectResult = core::Expected<std::optional<std::string>>;
using WriteResult = core::Expected<void>;

} // namespace lagoontiller::state
