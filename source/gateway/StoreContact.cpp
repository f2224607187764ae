#include "gateway/StoreContact.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief A call is unanswered after this multiple of the usual answer time, within the bounds below.
constexpr int timeoutMultiple = 8;
/// \brief Many times the store's stated answer time of 4 ms, below the pause that makes a stream late.
constexpr core::Duration shortestTimeout = std::chrono::milliseconds(250);
/// \brief Bound of the doubling by unanswered calls, so that the return of a silent store is noticed within a second.
constexpr core::Duration longestUsual = std::chrono::milliseconds(100);
constexpr core::Duration longestTimeout = std::chrono::milliseconds(1'500);
/// \brief Time after which peers without contact are asked again; the interval of the heartbeats that notice its
/// return.
constexpr core::Duration relayRetry = std::chrono::milliseconds(300);

std::string_view text(StoreFailure failure) noexcept
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

void StoreContact::succeeded(core::Duration took, core::TimePoint now)
{
    if (this->isLost) {
        core::logInfo("store_regained").with("after_ms", this->everFailed ? (now - this->lostAt).count() / 1'000 : 0);
        this->backAt = now;
    }
    this->isLost = false;
    this->relayDeniedAt.reset();
    this->succeededAt = now;
    this->usual = (this->usual * 7 + took) / 8;
}

void StoreContact::failed(StoreFailure failure, core::TimePoint startedAt, core::TimePoint now)
{
    if (failure == StoreFailure::HistoryGone)
        return;
    // An unanswered call may be a slow one: later calls wait longer. Calls that were under way together count once.
    if (failure == StoreFailure::Unknown && startedAt >= this->doubledAt) {
        this->usual = std::min(std::max(this->usual, shortestTimeout / timeoutMultiple) * 2, longestUsual);
        this->doubledAt = now;
    }
    const bool lostBefore = this->failing();
    this->failedAt = now;
    this->everFailed = true;
    // The store has answered since an unanswered call began: the call was lost, or hung in an outage that is over.
    if (failure == StoreFailure::Unknown && startedAt < this->succeededAt)
        return;
    if (!lostBefore) {
        core::logWarning("store_lost").with("reason", text(failure));
        this->lostAt = now;
    }
    this->isLost = true;
    this->lastFailure = failure;
}

void StoreContact::clock(std::uint64_t milliseconds, core::TimePoint now)
{
    if (milliseconds < this->storeMs)
        return;
    this->storeMs = milliseconds;
    this->storeMsAt = now;
}

core::Duration StoreContact::awayFor(core::TimePoint now) const noexcept
{
    if (!this->failing() || (this->relays && !this->relayDeniedAt))
        return core::Duration::zero();
    return now - this->lostAt;
}

void StoreContact::relayEnded(bool reached, core::TimePoint now)
{
    const bool worked = !this->relayDeniedAt.has_value();
    if (reached != worked)
        core::logInfo("store_relay").with("state", reached ? "works" : "no_peer_has_contact");
    this->relayDeniedAt = reached ? std::nullopt : std::optional(now);
}

bool StoreContact::relayMayWork(core::TimePoint now) const noexcept
{
    return this->relays && (!this->relayDeniedAt || now - *this->relayDeniedAt > relayRetry);
}

bool StoreContact::troubledWithin(core::Duration span, core::TimePoint now) const noexcept
{
    return this->everFailed && now - this->failedAt <= span;
}

core::Duration StoreContact::callTimeout() const noexcept
{
    return std::clamp(this->usual * timeoutMultiple, shortestTimeout, longestTimeout);
}

std::uint64_t StoreContact::storeNow(core::TimePoint now) const noexcept
{
    return this->storeMs + static_cast<std::uint64_t>((now - this->storeMsAt).count() / 1'000);
}

namespace {

template <typename Result>
auto observe(StoreContact& contact, core::MetricRegistry* metrics, std::string call,
    std::function<void(StoreResult<Result>)> done)
{
    return [&contact, metrics, call = std::move(call), done = std::move(done), started = core::monotonicNow()](
               StoreResult<Result> result) {
        const auto now = core::monotonicNow();
        if (metrics != nullptr) {
            const std::string outcome(result ? "done" : text(result.error()));
            metrics->observe("gateway_store_call_ms", { { "call", call }, { "result", outcome } },
                static_cast<double>((now - started).count()) / 1'000);
        }
        if (result) {
            contact.succeeded(now - started, now);
            contact.clock(result->storeMs, now);
        } else {
            contact.failed(result.error(), started, now);
        }
        done(std::move(result));
    };
}

} // namespace

void ObservedStore::transact(
    RowTransaction transaction, core::Duration timeout, std::function<void(StoreResult<TransactionResult>)> done)
{
    this->store.transact(
        std::move(transaction), timeout, observe(this->contact, this->metrics, "transact", std::move(done)));
}

void ObservedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    this->store.read(std::move(range), timeout, observe(this->contact, this->metrics, "read", std::move(done)));
}

void ObservedStore::watch(
    const std::string& table, std::uint64_t after, core::Duration wait, std::function<void(StoreResult<RowPage>)> done)
{
    // The answer time of a watch is the time to the next change and says nothing about the store.
    this->store.watch(table, after, wait,
        [this, done = std::move(done), started = core::monotonicNow()](StoreResult<RowPage> result) {
            const auto now = core::monotonicNow();
            if (result)
                this->contact.clock(result->storeMs, now);
            else
                this->contact.failed(result.error(), started, now);
            done(std::move(result));
        });
}

} // namespace lagoontiller::gateway
