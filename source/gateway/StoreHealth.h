#pragma once

#include "core/Metrics.h"
#include "gateway/RowStore.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief What this node knows about its contact with the store.
class StoreHealth {
public:
    void callSucceeded(core::Duration took, core::TimePoint now);
    /// \brief A call that began at `startedAt` failed.
    void callFailed(StoreFailure failure, core::TimePoint startedAt, core::TimePoint now);
    /// \brief The store's clock as of an answer.
    void noteStoreTime(std::uint64_t storeMs, core::TimePoint now);

    /// \brief The last answered call failed.
    [[nodiscard]] bool unreachable() const noexcept { return this->isUnreachable; }
    /// \brief The same, once there was any call.
    [[nodiscard]] bool failing() const noexcept { return this->isUnreachable && this->everFailed; }
    /// \brief Peers may do calls for this node: the store counts as away only when they cannot reach it either.
    void enableRelays() noexcept { this->relaysEnabled = true; }
    /// \brief A call through peers ended; `reached` says whether one of them has contact to the store.
    void noteRelayResult(bool reached, core::TimePoint now);

    /// \brief Whether peers should be asked: none of them was asked without success a moment ago.
    [[nodiscard]] bool shouldTryRelay(core::TimePoint now) const noexcept;

    /// \brief Time since the first of the failed calls since the last success; 0 while there is contact, or while peers
    /// may have it.
    [[nodiscard]] core::Duration outageDuration(core::TimePoint now) const noexcept;
    /// \brief Whether a call would wait for its time-out: the last failed one did, and was not refused.
    [[nodiscard]] bool unresponsive() const noexcept
    {
        return this->failing() && this->lastFailure == StoreFailure::Unknown;
    }
    /// \brief Whether calls failed within `span`; rows that vanish then may only have lapsed.
    [[nodiscard]] bool failedWithin(core::Duration span, core::TimePoint now) const noexcept;
    /// \brief Time after which a call counts as unanswered.
    [[nodiscard]] core::Duration callTimeout() const noexcept;
    /// \brief The store's clock now, in milliseconds.
    [[nodiscard]] std::uint64_t storeTimeMs(core::TimePoint now) const noexcept;
    [[nodiscard]] core::TimePoint lastSuccess() const noexcept { return this->lastSuccessAt; }
    /// \brief Time of the first answered call after the last failure; calls that began before may never be answered.
    [[nodiscard]] core::TimePoint recoveredAt() const noexcept { return this->lastRecoveryAt; }

private:
    bool relaysEnabled = false;
    /// \brief The peers that were asked last had no contact either.
    std::optional<core::TimePoint> relayFailedAt;
    bool isUnreachable = true;
    bool everFailed = false;
    core::TimePoint lastSuccessAt {};
    core::TimePoint lastFailureAt {};
    core::TimePoint outageStartedAt {};
    core::TimePoint lastRecoveryAt {};
    StoreFailure lastFailure = StoreFailure::NotDone;
    core::Duration typicalLatency = std::chrono::milliseconds(10);
    core::TimePoint timeoutRaisedAt {};
    std::uint64_t storeMs = 0;
    core::TimePoint storeMsReceivedAt {};
};

/// \brief Passes calls to the store and notes how they end.
class ObservedStore : public RowStore {
public:
    /// \brief `metrics` gets the time of each call by its kind and result; may be null.
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
