#include "gateway/EndpointLossTracker.h"

#include "core/Log.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Delay before an endpoint is probed; its other connections break within this time.
constexpr core::Duration verificationDelay = std::chrono::milliseconds(100);
constexpr core::Duration verificationTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxHealthResponseBytes = 65'536;
/// \brief Retention of loss rows; also the window and the isolation time of the ledger.
constexpr core::Duration rowRetention = std::chrono::minutes(2);

policy::PoisonOptions ledgerOptions()
{
    policy::PoisonOptions result;
    result.isolatingLosses = 3;
    result.suspicionWindow = rowRetention;
    result.isolationTime = rowRetention;
    return result;
}

} // namespace

EndpointLossTracker::EndpointLossTracker(asio::io_context& context, transport::ClientPool& pool, RowStore& store,
    StoreHealth& storeHealth, RowExpiry& rowExpiry)
    : context(context)
    , pool(pool)
    , store(store)
    , storeHealth(storeHealth)
    , rowExpiry(rowExpiry)
    , ledger(ledgerOptions())
{
}

void EndpointLossTracker::suspect(const SuspectedLoss& loss)
{
    const auto [found, added] = this->suspected.try_emplace(loss.endpoint, Suspected { loss, {} });
    found->second.digests.push_back(loss.digest);
    if (!added)
        return;
    auto timer = std::make_shared<asio::steady_timer>(this->context, verificationDelay);
    timer->async_wait([this, endpoint = loss.endpoint, timer](asio::error_code error) {
        if (!error)
            this->verify(endpoint);
    });
}

void EndpointLossTracker::verify(const std::string& endpoint)
{
    const auto& loss = this->suspected.at(endpoint).first;
    transport::ExchangeOptions exchange;
    exchange.connectTimeout = verificationTimeout;
    exchange.responseTimeout = verificationTimeout;
    exchange.maxIdleTime = core::Duration::zero();
    exchange.maxBodyBytes = maxHealthResponseBytes;
    transport::ExchangeEvents events;
    events.head = [](transport::ResponseHead&&) {};
    events.body = [](std::string&&) {};
    events.ended = [this, endpoint](transport::ExchangeEnd end) {
        if (end == transport::ExchangeEnd::NotSent)
            this->confirm(endpoint);
        this->suspected.erase(endpoint);
    };
    this->pool.send(loss.address, "GET " + loss.healthPath + " HTTP/1.1\r\nHost: " + loss.address + "\r\n\r\n",
        std::move(exchange), std::move(events));
}

void EndpointLossTracker::confirm(const std::string& endpoint)
{
    const auto now = core::monotonicNow();
    if (this->pathsWereLost && this->pathsWereLost(now)) {
        core::logInfo("endpoint_loss_unproven").with("endpoint", endpoint);
        return;
    }
    const auto notice = this->ledger.endpointLost(endpoint, this->suspected.at(endpoint).digests, now);
    core::logWarning("endpoint_lost").with("endpoint", endpoint).with("calls", notice.digests.size());
    wire::LossRecord record;
    record.set_endpoint(endpoint);
    for (const auto& digest : notice.digests)
        record.add_digests(digest);
    record.set_at_ms(this->storeHealth.storeTimeMs(now));
    const RowKey key { std::string(table), "", endpoint };
    RowTransaction transaction;
    transaction.puts.push_back({ key, record.SerializeAsString(), 0, false });
    this->store.transact(
        std::move(transaction), this->storeHealth.callTimeout(), [this, key](StoreResult<TransactionResult> result) {
            if (result && result->applied)
                this->rowExpiry.schedule(key, result->version, core::monotonicNow() + rowRetention);
            else
                core::logWarning("loss_not_shared").with("endpoint", key.key);
        });
}

void EndpointLossTracker::rowChanged(const Row& row, core::TimePoint now)
{
    wire::LossRecord record;
    if (!record.ParseFromString(row.value)) {
        core::logWarning("loss_row_unreadable").with("endpoint", row.key.key);
        return;
    }
    const auto storeTimeMs = this->storeHealth.storeTimeMs(now);
    const auto age = std::chrono::milliseconds(storeTimeMs > record.at_ms() ? storeTimeMs - record.at_ms() : 0);
    this->ledger.merge({ record.endpoint(), { record.digests().begin(), record.digests().end() }, age }, now);
}

void EndpointLossTracker::callSucceeded(const std::string& digest, core::TimePoint now)
{
    this->ledger.succeeded(digest, now);
}

bool EndpointLossTracker::isIsolated(const std::string& digest, core::TimePoint now) const
{
    return this->ledger.verdict(digest, now) == policy::PoisonVerdict::Isolated;
}

bool EndpointLossTracker::isIsolatedByNextLoss(const std::string& digest, core::TimePoint now) const
{
    return this->ledger.isIsolatedByNextLoss(digest, now);
}

void EndpointLossTracker::tick(core::TimePoint now)
{
    this->ledger.tick(now);
}

} // namespace lagoontiller::gateway
