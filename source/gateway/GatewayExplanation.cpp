#include "gateway/Gateway.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

constexpr auto decidedHere = "here";
constexpr auto decidedByStore = "store";

/// \brief A copy of the entry, so that an explanation changes nothing; a new entry if there is none.
template <typename Map> typename Map::mapped_type copyOf(const Map& map, const std::string& key)
{
    const auto found = map.find(key);
    return found == map.end() ? typename Map::mapped_type() : found->second;
}

std::string decidedAt(const std::string& peer)
{
    return peer.empty() ? decidedHere : peer;
}

} // namespace

ExplainedResponse Gateway::explained(const LocalResponse& response)
{
    return { response.status, std::string(response.cause), response.retryAfter };
}

RouteExplanation Gateway::explain(Call&& call, core::TimePoint now) const
{
    Flow flow;
    flow.call = std::move(call);
    flow.arrivedAt = now;
    flow.deadline = core::TimePoint::max();
    const auto refusal = this->examine(flow, now);
    RouteExplanation result;
    if (this->configuration)
        result.configurationVersion = this->configuration->version;
    result.storeReachable = !this->dependencies.storeHealth.unreachable();
    result.requiresKey = this->accounts.required();
    if (flow.route) {
        result.route = flow.route->name;
        result.isPublic = flow.route->isPublic;
    }
    if (flow.account)
        result.account = { flow.account->name, flow.account->priority, flow.account->ratePerSecond };
    ExplainedStep admission { RouteStep::Admission, StepState::Passes, decidedHere };
    if (refusal) {
        admission.state = StepState::Refuses;
        admission.response = explained(*refusal);
    }
    result.steps.push_back(std::move(admission));
    if (!flow.service)
        return result;
    // The budget tells whether the call begins a program, and the origin of a stream which service may resume it.
    auto budget = this->explainBudget(flow, now);
    auto stream = this->explainStream(flow);
    result.service = flow.service->name;
    result.versions = this->permittedVersions(flow);
    result.steps.push_back(this->explainNewProgram(flow, now));
    result.steps.push_back(std::move(budget));
    result.steps.push_back(this->explainHistory(flow, now));
    result.steps.push_back(std::move(stream));
    ExplainedStep versionList { RouteStep::VersionList };
    if (this->lacksListedVersion(flow) && !flow.waitsForStreamVersion) {
        versionList.state = StepState::Unknown;
        versionList.decidedBy = decidedByStore;
        versionList.response = explained(unlistedResponse());
    }
    result.steps.push_back(std::move(versionList));
    result.steps.push_back(this->explainQuota(flow, now));
    result.steps.push_back(this->explainPlacement(flow, result, now));
    return result;
}

ExplainedStep Gateway::explainNewProgram(const Flow& flow, core::TimePoint now) const
{
    ExplainedStep step { RouteStep::NewProgram };
    const bool isNew
        = flow.route->keepsHistory ? flow.call.previousTurn.empty() : flow.reservation && flow.reservation->firstTurn;
    if (!isNew || !isLimitedAsNewProgram(flow))
        return step;
    auto limiter = copyOf(this->newProgramLimiters, flow.service->name);
    auto shares = copyOf(this->programShares, flow.service->name);
    const double share = this->accounts.required() ? newProgramShare(flow, limiter, shares, now) : limiter.share(now);
    step.decidedBy = decidedHere;
    step.state = share >= 1 ? StepState::Passes : StepState::Drawn;
    // The time to return is drawn as well; this is its mean.
    step.response = explained(congestionResponse(0.5));
    if (step.state == StepState::Drawn)
        step.passShare = share;
    return step;
}

ExplainedStep Gateway::explainBudget(Flow& flow, core::TimePoint now) const
{
    ExplainedStep step { RouteStep::Budget };
    if (!flow.waitsForBudget)
        return step;
    const auto outlook = this->dependencies.peerService.budgetOutlook(budgetRequest(flow), now);
    step.decidedBy = decidedAt(outlook.home);
    step.state = StepState::Unknown;
    step.response = explained(budgetResponse(outlook.answer.value_or(BudgetAnswer::Unavailable)));
    if (outlook.answer)
        step.state = *outlook.answer == BudgetAnswer::Granted ? StepState::Passes : StepState::Refuses;
    else if (outlook.home.empty())
        step.decidedBy = decidedByStore;
    // Only its home knows that the program has begun; until then the call counts as its first one.
    flow.reservation.emplace();
    flow.reservation->firstTurn = outlook.firstTurn.value_or(true);
    return step;
}

ExplainedStep Gateway::explainHistory(const Flow& flow, core::TimePoint now) const
{
    ExplainedStep step { RouteStep::History };
    if (!flow.waitsForHistory)
        return step;
    const auto outlook = this->dependencies.peerService.historyOutlook(flow.call.program, flow.call.previousTurn, now);
    step.state = outlook.isCached ? StepState::Passes : StepState::Unknown;
    step.decidedBy = decidedAt(outlook.home);
    if (!outlook.isCached && outlook.home.empty())
        step.decidedBy = decidedByStore;
    const bool reachable = !this->dependencies.storeHealth.unreachable();
    step.response = explained(historyResponse(reachable ? HistoryFailure::NotFound : HistoryFailure::Unavailable));
    return step;
}

ExplainedStep Gateway::explainStream(Flow& flow) const
{
    ExplainedStep step { RouteStep::StreamOrigin };
    if (!flow.waitsForStreamVersion)
        return step;
    const auto origin = this->knownOrigin(flow);
    if (!origin) {
        // Nodes of the zone or the rows of the store may know it.
        step.state = StepState::Unknown;
        step.decidedBy = decidedByStore;
        step.response = explained(resumptionResponse("stream_origin_unknown"));
        return step;
    }
    const auto cause = this->takeOrigin(flow, *origin);
    step.decidedBy = decidedHere;
    step.state = cause.empty() ? StepState::Passes : StepState::Refuses;
    if (!cause.empty())
        step.response = explained(resumptionResponse(cause));
    return step;
}

ExplainedStep Gateway::explainQuota(const Flow& flow, core::TimePoint now) const
{
    ExplainedStep step { RouteStep::Quota };
    if (!flow.account)
        return step;
    const auto call = quotaCall(flow, now);
    const auto outlook = this->dependencies.quotaService.outlook(call, now);
    if (!outlook.isLimited)
        return step;
    const auto grant = outlook.grant.value_or(QuotaGrant());
    auto schedule = copyOf(this->quotaRetrySchedules, flow.account->name);
    step.decidedBy = decidedAt(outlook.coordinator);
    step.response = explained(quotaResponse(flow, call.startsProgram, grant, schedule, now));
    if (!outlook.grant)
        step.state = StepState::Unknown;
    else if (grant.calls == 0)
        step.state = StepState::Refuses;
    else
        step.state = outlook.wait > core::Duration::zero() ? StepState::Waits : StepState::Passes;
    // The coordinator states the time with its refusal.
    if (step.state != StepState::Refuses)
        step.response->retryAfter = core::Duration::zero();
    if (outlook.grant && outlook.wait > core::Duration::zero())
        step.wait = outlook.wait;
    return step;
}

ExplainedStep Gateway::explainPlacement(const Flow& flow, RouteExplanation& explanation, core::TimePoint now) const
{
    const auto& directory = this->dependencies.endpointDirectory;
    const auto request = this->placementRequest(flow);
    auto& endpoints = explanation.endpoints;
    for (const auto& each : assessEndpoints(request, directory, this->endpointRateLimits, this->location, now)) {
        const auto& entry = each.endpoint->entry;
        auto& added = endpoints.emplace_back(ExplainedEndpoint { entry.id, entry.address, entry.zone, entry.version,
            each.exclusion, each.cost, each.endpoint->traffic.share, each.randomPenaltyMs, each.cachedTokens });
        const auto sendsAt = this->endpointRateLimits.earliestSend(entry, now);
        if (each.exclusion == Exclusion::RateLimit && sendsAt)
            added.sendsIn = *sendsAt - now;
    }
    markLikelyEndpoints(endpoints);
    const auto& serving = directory.servingEndpoints(request.service);
    for (const auto& id : directory.allEndpoints(request.service)) {
        if (std::binary_search(serving.begin(), serving.end(), id))
            continue;
        const auto* const known = directory.find(id);
        endpoints.push_back({ id, known->entry.address, known->entry.zone, known->entry.version, Exclusion::Draining,
            {}, known->traffic.share });
    }
    ExplainedStep step { RouteStep::Placement, StepState::Passes, decidedHere };
    step.response = explained(noEndpointResponse(flow));
    if (now >= flow.deadline) {
        step.state = StepState::Refuses;
        step.response = explained(timeOverResponse());
        return step;
    }
    if (std::any_of(endpoints.begin(), endpoints.end(), [](const auto& each) { return each.mayBeChosen; }))
        return step;
    const auto limited = findRateLimitedEndpoints(request, directory, this->endpointRateLimits, now);
    if (!limited) {
        step.state = StepState::Refuses;
        return step;
    }
    step.state = mayWaitForRateLimit(flow, *limited, now) ? StepState::Waits : StepState::Refuses;
    if (step.state == StepState::Waits)
        step.wait = *limited->at - now;
    auto schedule = copyOf(this->retrySchedules, flow.service->name);
    step.response = explained(rateLimitResponse(flow, *limited, schedule, now));
    return step;
}

} // namespace lagoontiller::gateway
