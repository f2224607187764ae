#include "gateway/Gateway.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Retry delay for callers with a key while this node cannot prove that its keys are valid, but others may.
constexpr core::Duration retryAfterUnproven = std::chrono::milliseconds(300);
/// \brief The same while peers cannot reach the store either. Outages last seconds, and a program whose turn fails
/// three times ends.
constexpr core::Duration retryAfterUnprovenInOutage = std::chrono::milliseconds(2'000);
/// \brief Whether the call is the first of its program; the home of its budget knows it if there is one.
bool startsItsProgram(const Flow& flow)
{
    if (flow.route->kind != CallKind::Streaming || flow.call.program.empty() || !flow.call.previousTurn.empty())
        return false;
    return !flow.reservation || flow.reservation->firstTurn;
}

/// \brief A call waits for a permit for this part of the objective of its route at most.
constexpr int maxQuotaWaitDivisor = 2;
/// \brief Bounds the memory of the metrics, of which each account has one per outcome.
constexpr std::size_t maxAccountsInMetrics = 200;

} // namespace

Authorization Gateway::authenticate(Flow& flow) const
{
    if (!this->accounts.required())
        return Authorization::Granted;
    auto& call = flow.call;
    const auto key = std::exchange(call.key, {});
    const bool proven = this->dependencies.configurationProof.isProven(core::BootClock::now());
    if (!key.empty() && proven) {
        const auto digest = digestKey(key);
        flow.account = this->accounts.find(digest);
        if (flow.account)
            flow.keyDigest = digest;
    }
    if (!flow.account && !flow.route->isPublic)
        return proven ? Authorization::UnknownKey : Authorization::Unproven;
    call.scope = accountScope(flow.account.get());
    for (auto* const scopedId : { &call.program, &call.session, &call.previousTurn, &call.resumedStream }) {
        if (!scopedId->empty())
            scopedId->insert(0, call.scope);
    }
    return Authorization::Granted;
}

QuotaCall Gateway::quotaCall(const Flow& flow, core::TimePoint now)
{
    const auto latest = std::min(now + flow.route->targetLatency / maxQuotaWaitDivisor, flow.deadline);
    return { flow.account->name, startsItsProgram(flow), latest };
}

void Gateway::requestPermit(FlowId id, core::TimePoint now)
{
    auto& flow = *this->find(id);
    flow.waitsForQuota = true;
    const auto call = quotaCall(flow, now);
    this->dependencies.quotaService.request(call, now, [this, id, call](const QuotaGrant& grant) {
        if (this->find(id) != nullptr)
            this->handlePermit(id, call.startsProgram, grant);
        else if (grant.calls > 0)
            this->dependencies.quotaService.giveBack(call.account);
    });
}

void Gateway::handlePermit(FlowId id, bool startsProgram, const QuotaGrant& grant)
{
    auto& flow = *this->find(id);
    if (grant.calls > 0) {
        flow.waitsForQuota = false;
        flow.hasPermit = true;
        this->dispatchWhenPrepared(id);
        return;
    }
    this->respond(id,
        quotaResponse(flow, startsProgram, grant, this->quotaRetrySchedules[flow.account->name], core::monotonicNow()));
}

Gateway::LocalResponse Gateway::quotaResponse(
    const Flow& flow, bool startsProgram, const QuotaGrant& refusal, RetrySchedule& schedule, core::TimePoint now)
{
    const auto retryAfter = schedule.assign(startsProgram, now + refusal.retryAfter, flow.account->ratePerSecond, now);
    return { 429, core::ResultCode::TooManyRequests, "account_over_quota", retryAfter };
}

std::string Gateway::metricName(const Account& account)
{
    if (this->accountsInMetrics.size() < maxAccountsInMetrics)
        this->accountsInMetrics.insert(account.name);
    return this->accountsInMetrics.contains(account.name) ? account.name : "other";
}

Authorization Gateway::authorization(const Flow& flow) const
{
    if (!flow.account)
        return Authorization::Granted;
    if (!this->dependencies.configurationProof.isProven(core::BootClock::now()))
        return Authorization::Unproven;
    const auto account = this->accounts.find(flow.keyDigest);
    return account && account->name == flow.account->name ? Authorization::Granted : Authorization::UnknownKey;
}

void Gateway::attemptWithheld(Flow& flow, core::TimePoint now)
{
    this->dependencies.endpointDirectory.callAbandoned(flow.attempt->endpoint);
    flow.attempt.reset();
    if (const auto authorization = this->authorization(flow); authorization != Authorization::Granted)
        this->respond(flow.id, this->unauthorizedResponse(flow, authorization));
    else
        this->dispatch(flow.id, now);
}

Gateway::LocalResponse Gateway::unauthorizedResponse(const Flow& flow, Authorization authorization) const
{
    const bool mayHaveRun = flow.possibleRuns > 0 || flow.responseStarted;
    if (authorization != Authorization::Unproven)
        return { mayHaveRun ? 502 : 401, core::ResultCode::UnknownKey, "unknown_key", {} };
    if (mayHaveRun)
        return { 502, core::ResultCode::EndpointFailed, "key_unproven", {} };
    const bool outage = this->dependencies.storeHealth.isOutageConfirmed(core::monotonicNow());
    return { 503, core::ResultCode::StoreUnavailable, "key_unproven",
        outage ? retryAfterUnprovenInOutage : retryAfterUnproven };
}

} // namespace lagoontiller::gateway
