#pragma once

#include "core/Error.h"
#include "tables/Transaction.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::state {

/// \brief Pairs a reply with the effect that asked for it; replies to superseded operations are ignored.
using OperationId = std::uint64_t;

/// \brief Reply goes to `onTransaction`. StoreUnavailable means that nothing was sent; any other error leaves the
/// result unknown. The runtime answers every operation, by a time-out if need be.
struct WriteTransaction {
    OperationId operation = 0;
    tables::Transaction transaction;
    [[nodiscard]] bool operator==(const WriteTransaction&) const = default;
};

/// \brief Reply goes to `onObjectWritten`.
struct WriteObject {
    OperationId operation = 0;
    std::string key;
    std::string bytes;
    [[nodiscard]] bool operator==(const WriteObject&) const = default;
};

/// \brief Reply goes to `onRow`; a missing row is an empty optional.
struct ReadRow {
    OperationId operation = 0;
    std::string key;
    [[nodiscard]] bool operator==(const ReadRow&) const = default;
};

/// \brief Reply goes to `onRows`: rows in key order with keys above `after`, at most `limit`.
struct ScanRows {
    OperationId operation = 0;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
    [[nodiscard]] bool operator==(const ScanRows&) const = default;
};

/// \brief Reply goes to `onObject`; a missing object is an empty optional.
struct ReadObject {
    OperationId operation = 0;
    std::string key;
    [[nodiscard]] bool operator==(const ReadObject&) const = default;
};

/// \brief Not answered. A failure leaves an unreferenced object behind.
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
