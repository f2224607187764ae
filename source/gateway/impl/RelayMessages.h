#pragma once

#include "gateway/RowStore.h"
#include "proto/gateway.pb.h"

/// \brief Conversion of store calls and their results to and from messages between nodes.
namespace lagoontiller::gateway::impl {

[[nodiscard]] wire::RelayedTransaction encodeTransaction(const RowTransaction& transaction);
[[nodiscard]] RowTransaction decodeTransaction(const wire::RelayedTransaction& message);
[[nodiscard]] wire::RelayedRead encodeRange(const RowRange& range);
[[nodiscard]] RowRange decodeRange(const wire::RelayedRead& message);
[[nodiscard]] wire::RelayedAnswer encodeAnswer(const StoreResult<TransactionResult>& result);
[[nodiscard]] wire::RelayedAnswer encodeAnswer(const StoreResult<RowPage>& result);
[[nodiscard]] StoreResult<TransactionResult> decodeTransactionResult(const wire::RelayedAnswer& answer);
[[nodiscard]] StoreResult<RowPage> decodePage(const wire::RelayedAnswer& answer);

} // namespace lagoontiller::gateway::impl
