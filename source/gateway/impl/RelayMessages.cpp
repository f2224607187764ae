#include "gateway/impl/RelayMessages.h"

namespace lagoontiller::gateway::impl {

namespace {

void encode(const RowKey& key, wire::RowPlace& place)
{
    place.set_table(key.table);
    place.set_part(key.part);
    place.set_key(key.key);
}

RowKey decode(const wire::RowPlace& place)
{
    return { place.table(), place.part(), place.key() };
}

void encode(const Row& row, wire::StoredRow& stored)
{
    encode(row.key, *stored.mutable_place());
    stored.set_value(row.value);
    stored.set_version(row.version);
}

std::vector<Row> decodeRows(const google::protobuf::RepeatedPtrField<wire::StoredRow>& stored)
{
    std::vector<Row> rows;
    for (const auto& each : stored)
        rows.push_back({ decode(each.place()), each.value(), each.version(), false });
    return rows;
}

wire::RelayedAnswer encodeFailure(StoreFailure failure)
{
    wire::RelayedAnswer answer;
    answer.set_outcome(failure == StoreFailure::Unknown ? wire::RelayedAnswer::UNKNOWN : wire::RelayedAnswer::NOT_DONE);
    return answer;
}

StoreFailure failureOf(const wire::RelayedAnswer& answer)
{
    return answer.outcome() == wire::RelayedAnswer::UNKNOWN ? StoreFailure::Unknown : StoreFailure::NotDone;
}

} // namespace

wire::RelayedTransaction encodeTransaction(const RowTransaction& transaction)
{
    wire::RelayedTransaction message;
    for (const auto& condition : transaction.conditions) {
        auto* const row = message.add_conditions();
        encode(condition.key, *row->mutable_place());
        row->set_version(condition.version);
    }
    for (const auto& row : transaction.puts)
        encode(row, *message.add_puts());
    for (const auto& key : transaction.removes)
        encode(key, *message.add_removes());
    return message;
}

RowTransaction decodeTransaction(const wire::RelayedTransaction& message)
{
    RowTransaction transaction;
    for (const auto& each : message.conditions())
        transaction.conditions.push_back({ decode(each.place()), each.version() });
    transaction.puts = decodeRows(message.puts());
    for (const auto& each : message.removes())
        transaction.removes.push_back(decode(each));
    return transaction;
}

wire::RelayedRead encodeRange(const RowRange& range)
{
    wire::RelayedRead message;
    encode({ range.table, range.part, range.from }, *message.mutable_from());
    message.set_to(range.to);
    message.set_limit(range.limit);
    return message;
}

RowRange decodeRange(const wire::RelayedRead& message)
{
    return { message.from().table(), message.from().part(), message.from().key(), message.to(), message.limit() };
}

wire::RelayedAnswer encodeAnswer(const StoreResult<TransactionResult>& result)
{
    if (!result)
        return encodeFailure(result.error());
    wire::RelayedAnswer answer;
    answer.set_outcome(wire::RelayedAnswer::DONE);
    answer.set_applied(result->applied);
    answer.set_version(result->version);
    answer.set_store_ms(result->storeMs);
    for (const auto& row : result->current)
        encode(row, *answer.add_rows());
    return answer;
}

wire::RelayedAnswer encodeAnswer(const StoreResult<RowPage>& result)
{
    if (!result)
        return encodeFailure(result.error());
    wire::RelayedAnswer answer;
    answer.set_outcome(wire::RelayedAnswer::DONE);
    answer.set_version(result->version);
    answer.set_store_ms(result->storeMs);
    answer.set_more(result->more);
    for (const auto& row : result->rows)
        encode(row, *answer.add_rows());
    return answer;
}

StoreResult<TransactionResult> decodeTransactionResult(const wire::RelayedAnswer& answer)
{
    if (answer.outcome() != wire::RelayedAnswer::DONE)
        return tl::unexpected(failureOf(answer));
    return TransactionResult { answer.applied(), answer.version(), answer.store_ms(), decodeRows(answer.rows()) };
}

StoreResult<RowPage> decodePage(const wire::RelayedAnswer& answer)
{
    if (answer.outcome() != wire::RelayedAnswer::DONE)
        return tl::unexpected(failureOf(answer));
    return RowPage { decodeRows(answer.rows()), answer.more(), answer.version(), answer.store_ms() };
}

} // namespace lagoontiller::gateway::impl
