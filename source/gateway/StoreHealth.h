#pragma once

#include "core/Metrics.h"
#include "gateway/RowStore.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief Tracks from the results of calls whether this node can reach the store.
class StoreHealth {
public:
    /// \brief Records a successful call of duration `took`.
    void callSucceeded(core::Duration took, core::TimePoint now);
    /// \brief Records the failure of a call that started at `startedAt`.
    void callFailed(StoreFailure failure, core::TimePoint startedAt, core::TimePoint now);
    /// \brief Records the time of the store's clock from an answer; earlier times are ignored.
    void noteStoreTime(std::uint64_t storeMs, core::TimePoint now);

    /// \brief Whether the last call failed, or none has succeeded yet.
    [[nodiscard]] bool unreachable() const noexcept { return this->isUnreachable; }
    /// \brief Whether the last call failed; false before the first failure.
    [[nodiscard]] bool failing() const noexcept { return this->isUnreachable && this->everFailed; }
    /// \brief Declares that calls can be relayed through peers; an outage then counts only if the peers cannot reach
    /// the store either.
    void enableRelays() noexcept { this->relaysEnabled = true; }
    /// \brief Records the end of a relayed call; `reached` says whether a peer could reach the store.
    void noteRelayResult(bool reached, core::TimePoint now);

    /// \brief Records that a peer stated that it cannot reach the store either.
    void notePeerWithoutStore(core::TimePoint now) noexcept { this->peerWithoutStoreAt = now; }
    /// \brief Whether the store seems unreachable for other nodes too, so that none of them can have changed a row. A
    /// node that is cut off from the store and its peers cannot tell.
    [[nodiscard]] bool isOutageConfirmed(core::TimePoint now) const noexcept;

    /// \brief Whether a call should be relayed: relays are enabled, and the last one did not fail within the retry
    /// interval.
    [[nodiscard]] bool shouldTryRelay(core::TimePoint now) const noexcept;

    /// \brief Time since the start of the current outage; 0 while the store is reachable directly or possibly through
    /// peers.
    [[nodiscard]] core::Duration outageDuration(core::TimePoint now) const noexcept;
    /// \brief Whether the store leaves calls unanswered instead of refusing them, so that a call would wait for its
    /// time-out.
    [[nodiscard]] bool unresponsive() const noexcept
    {
        return this->failing() && this->lastFailure == StoreFailure::Unknown;
    }
    /// \brief Whether the store was lost within the last `span`; rows that disappeared then may only be missing
    /// temporarily. Calls that it refused while it served others do not count.
    [[nodiscard]] bool failedWithin(core::Duration span, core::TimePoint now) const noexcept;
    /// \brief Whether any call failed within the last `span`, also for overload; other nodes may not have been able to
    /// write then.
    [[nodiscard]] bool refusedWithin(core::Duration span, core::TimePoint now) const noexcept;
    /// \brief Time-out for the next call.
    [[nodiscard]] core::Duration callTimeout() const noexcept;
    /// \brief Estimated current time of the store's clock in milliseconds.
    [[nodiscard]] std::uint64_t storeTimeMs(core::TimePoint now) const noexcept;
    /// \brief Whether an answer of the store has stated its time.
    [[nodiscard]] bool knowsStoreTime() const noexcept { return this->storeMs != 0; }
    [[nodiscard]] core::TimePoint lastSuccess() const noexcept { return this->lastSuccessAt; }
    /// \brief Time of the first success after the last outage; calls that started earlier may never be answered.
    [[nodiscard]] core::TimePoint recoveredAt() const noexcept { return this->lastRecoveryAt; }

private:
    bool relaysEnabled = false;
    /// \brief Time at which the last relayed call found no peer that could reach the store; empty after a success.
    std::optional<core::TimePoint> relayFailedAt;
    std::optional<core::TimePoint> peerWithoutStoreAt;
    bool isUnreachable = true;
    bool everFailed = false;
    core::TimePoint lastSuccessAt {};
    core::TimePoint lastFailureAt {};
    core::TimePoint lastRefusalAt {};
    core::TimePoint outageStartedAt {};
    core::TimePoint lastRecoveryAt {};
    StoreFailure lastFailure = StoreFailure::NotDone;
    core::Duration typicalLatency = std::chrono::milliseconds(10);
    core::TimePoint timeoutRaisedAt {};
    std::uint64_t storeMs = 0;
    core::TimePoint storeMsReceivedAt {};
};

/// \brief Forwards calls to a store and records their results in StoreHealth.
class ObservedStore : public RowStore {
public:
    /// \brief `metrics` receives the duration of each call by operation and result; may be null.
    ObservedStore(RowStore& store, StoreHealth& storeHealth, core::MetricRegistry* metrics = nullptr)
        : store(store)
        , storeHealth(storeHealth)
        , metrics(metrics)
    {
    }

    void transact(RowTransaction transaction, core::Duration timeout,
        std::function<void(StoreResult<TransactionResult>)> done) override;
    void read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done) override;
    void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(StoreResult<RowPage>)> done) override;

private:
    RowStore& store;
    StoreHealth& storeHealth;
    core::MetricRegistry* metrics;
};

} // namespace lagoontiller::gateway
