#pragma once

#include "core/Metrics.h"
#include "gateway/RowStore.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief What this node knows about its contact with the store.
class StoreContact {
public:
    void succeeded(core::Duration took, core::TimePoint now);
    /// \brief A call that began at `startedAt` failed.
    void failed(StoreFailure failure, core::TimePoint startedAt, core::TimePoint now);
    /// \brief The store's clock as of an answer.
    void clock(std::uint64_t storeMs, core::TimePoint now);

    /// \brief The last answered call failed.
    [[nodiscard]] bool lost() const noexcept { return this->isLost; }
    /// \brief The same, once there was any call.
    [[nodiscard]] bool failing() const noexcept { return this->isLost && this->everFailed; }
    /// \brief Peers may do calls for this node: the store counts as away only when they cannot reach it either.
    void enableRelays() noexcept { this->relays = true; }
    /// \brief A call through peers ended; `reached` says whether one of them has contact to the store.
    void relayEnded(bool reached, core::TimePoint now);

    /// \brief Whether peers should be asked: none of them was asked without success a moment ago.
    [[nodiscard]] bool relayMayWork(core::TimePoint now) const noexcept;

    /// \brief Time since the first of the failed calls since the last success; 0 while there is contact, or while peers
    /// may have it.
    [[nodiscard]] core::Duration awayFor(core::TimePoint now) const noexcept;
    /// \brief Whether a call would wait for its time-out: the last failed one did, and was not refused.
    [[nodiscard]] bool silent() const noexcept { return this->failing() && this->lastFailure == StoreFailure::Unknown; }
    /// \brief Whether calls failed within `span`; rows that vanish then may only have lapsed.
    [[nodiscard]] bool troubledWithin(core::Duration span, core::TimePoint now) const noexcept;
    /// \brief Time after which a call counts as unanswered.
    [[nodiscard]] core::Duration callTimeout() const noexcept;
    /// \brief The store's clock now, in milliseconds.
    [[nodiscard]] std::uint64_t storeNow(core::TimePoint now) const noexcept;
    [[nodiscard]] core::TimePoint lastSuccess() const noexcept { return this->succeededAt; }
    /// \brief Time of the first answered call after the last failure; calls that began before may never be answered.
    [[nodiscard]] core::TimePoint regainedAt() const noexcept { return this->backAt; }

private:
    bool relays = false;
    /// \brief The peers that were asked last had no contact either.
    std::optional<core::TimePoint> relayDeniedAt;
    bool isLost = true;
    bool everFailed = false;
    core::TimePoint succeededAt {};
    core::TimePoint failedAt {};
    core::TimePoint lostAt {};
    core::TimePoint backAt {};
    StoreFailure lastFailure = StoreFailure::NotDone;
    core::Duration usual = std::chrono::milliseconds(10);
    core::TimePoint doubledAt {};
    std::uint64_t storeMs = 0;
    core::TimePoint storeMsAt {};
};

/// \brief Passes calls to the store and notes how they end.
class ObservedStore : public RowStore {
public:
    /// \brief `metrics` gets the time of each call by its kind and result; may be null.
    ObservedStore(RowStore& store, StoreContact& contact, core::MetricRegistry* metrics = nullptr)
        : store(store)
        , contact(contact)
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
    StoreContact& contact;
    core::MetricRegistry* metrics;
};

} // namespace lagoontiller::gateway
