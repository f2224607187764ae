#include "gateway/StoreHealth.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief A call times out after this multiple of the typical latency, within the bounds below.
constexpr int timeoutLatencyMultiple = 8;
/// \brief Far above the store's stated response time of 4 ms, and below the pause that delays a stream noticeably.
constexpr core::Duration minCallTimeout = std::chrono::milliseconds(250);
/// \brief Limits the doubling by unanswered calls so that the recovery of an unresponsive store is noticed within one
/// second.
constexpr core::Duration maxTypicalLatency = std::chrono::milliseconds(100);
constexpr core::Duration maxCallTimeout = std::chrono::milliseconds(1'500);
/// \brief Interval at which peers are tried again after none of them could reach the store; equals the heartbeat
/// interval during outages.
constexpr core::Duration relayRetryInterval = std::chrono::milliseconds(300);
/// \brief Time without a successful call after which refusals for overload count as an outage. Nodes call the store
/// several times a second.
constexpr core::Duration maxOverloadWithoutSuccess = std::chrono::milliseconds(600);
/// \brief Time for which the statement of a peer that it cannot reach the store counts; peers are asked again within
/// this time.
constexpr core::Duration peerStatementValidity = std::chrono::seconds(3);

std::string_view toString(StoreFailure failure) noexcept
{
    switch (failure) {
    case StoreFailure::NotDone:
        return "not_done";
    case StoreFailure::Overloaded:
        return "overloaded";
    case StoreFailure::Unknown:
        return "no_answer";
    case StoreFailure::HistoryGone:
        return "history_gone";
    }
    return "unknown";
}

} // namespace

void StoreHealth::callSucceeded(core::Duration took, core::TimePoint now)
{
    if (this->isUnreachable) {
        core::logInfo("store_regained")
            .with("after_ms", this->everFailed ? (now - this->outageStartedAt).count() / 1'000 : 0);
        this->lastRecoveryAt = now;
    }
    this->isUnreachable = false;
    this->relayFailedAt.reset();
    this->peerWithoutStoreAt.reset();
    this->lastSuccessAt = now;
    this->typicalLatency = (this->typicalLatency * 7 + took) / 8;
}

void StoreHealth::callFailed(StoreFailure failure, core::TimePoint startedAt, core::TimePoint now)
{
    if (failure == StoreFailure::HistoryGone)
        return;
    // An unanswered call may only be slow, so later calls get a longer time-out. Concurrent calls count once.
    if (failure == StoreFailure::Unknown && startedAt >= this->timeoutRaisedAt) {
        this->typicalLatency
            = std::min(std::max(this->typicalLatency, minCallTimeout / timeoutLatencyMultiple) * 2, maxTypicalLatency);
        this->timeoutRaisedAt = now;
    }
    this->lastRefusalAt = now;
    // A store that refuses calls beyond its rate serves others. Only if it serves none, it refuses this node.
    if (failure == StoreFailure::Overloaded && now - this->lastSuccessAt <= maxOverloadWithoutSuccess)
        return;
    const bool wasFailing = this->failing();
    this->lastFailureAt = now;
    this->everFailed = true;
    // The store has answered another call since this one started: this call was lost, or belongs to an outage that is
    // over.
    if (failure == StoreFailure::Unknown && startedAt < this->lastSuccessAt)
        return;
    if (!wasFailing) {
        core::logWarning("store_lost").with("reason", toString(failure));
        this->outageStartedAt = now;
    }
    this->isUnreachable = true;
    this->lastFailure = failure;
}

void StoreHealth::noteStoreTime(std::uint64_t milliseconds, core::TimePoint now)
{
    if (milliseconds < this->storeMs)
        return;
    this->storeMs = milliseconds;
    this->storeMsReceivedAt = now;
}

core::Duration StoreHealth::outageDuration(core::TimePoint now) const noexcept
{
    if (!this->failing() || (this->relaysEnabled && !this->relayFailedAt))
        return core::Duration::zero();
    return now - this->outageStartedAt;
}

void StoreHealth::noteRelayResult(bool reached, core::TimePoint now)
{
    const bool worked = !this->relayFailedAt.has_value();
    if (reached != worked)
        core::logInfo("store_relay").with("state", reached ? "works" : "no_peer_has_contact");
    this->relayFailedAt = reached ? std::nullopt : std::optional(now);
    if (reached)
        this->peerWithoutStoreAt.reset();
}

bool StoreHealth::isOutageConfirmed(core::TimePoint now) const noexcept
{
    return this->failing() && this->peerWithoutStoreAt && now - *this->peerWithoutStoreAt <= peerStatementValidity;
}

bool StoreHealth::shouldTryRelay(core::TimePoint now) const noexcept
{
    return this->relaysEnabled && (!this->relayFailedAt || now - *this->relayFailedAt > relayRetryInterval);
}

bool StoreHealth::failedWithin(core::Duration span, core::TimePoint now) const noexcept
{
    return this->everFailed && now - this->lastFailureAt <= span;
}

bool StoreHealth::refusedWithin(core::Duration span, core::TimePoint now) const noexcept
{
    return this->lastRefusalAt != core::TimePoint() && now - this->lastRefusalAt <= span;
}

core::Duration StoreHealth::callTimeout() const noexcept
{
    return std::clamp(this->typicalLatency * timeoutLatencyMultiple, minCallTimeout, maxCallTimeout);
}

std::uint64_t StoreHealth::storeTimeMs(core::TimePoint now) const noexcept
{
    return this->storeMs + static_cast<std::uint64_t>((now - this->storeMsReceivedAt).count() / 1'000);
}

namespace {

template <typename Result>
auto observe(StoreHealth& storeHealth, core::MetricRegistry* metrics, std::string operation,
    std::function<void(StoreResult<Result>)> done)
{
    return [&storeHealth, metrics, operation = std::move(operation), done = std::move(done),
               started = core::monotonicNow()](StoreResult<Result> result) {
        const auto now = core::monotonicNow();
        if (metrics != nullptr) {
            const std::string outcome(result ? "done" : toString(result.error()));
            metrics->observe("gateway_store_call_ms", { { "call", operation }, { "result", outcome } },
                static_cast<double>((now - started).count()) / 1'000);
        }
        if (result) {
            storeHealth.callSucceeded(now - started, now);
            storeHealth.noteStoreTime(result->storeMs, now);
        } else {
            storeHealth.callFailed(result.error(), started, now);
        }
        done(std::move(result));
    };
}

} // namespace

void ObservedStore::transact(
    RowTransaction transaction, core::Duration timeout, std::function<void(StoreResult<TransactionResult>)> done)
{
    this->store.transact(
        std::move(transaction), timeout, observe(this->storeHealth, this->metrics, "transact", std::move(done)));
}

void ObservedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    this->store.read(std::move(range), timeout, observe(this->storeHealth, this->metrics, "read", std::move(done)));
}

void ObservedStore::watch(
    const std::string& table, std::uint64_t after, core::Duration wait, std::function<void(StoreResult<RowPage>)> done)
{
    // The latency of a watch is the time until the next change, so it is not part of the typical latency.
    this->store.watch(table, after, wait,
        [this, done = std::move(done), started = core::monotonicNow()](StoreResult<RowPage> result) {
            const auto now = core::monotonicNow();
            if (result)
                this->storeHealth.noteStoreTime(result->storeMs, now);
            else
                this->storeHealth.callFailed(result.error(), started, now);
            done(std::move(result));
        });
}

} // namespace lagoontiller::gateway
