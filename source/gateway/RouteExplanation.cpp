#include "gateway/RouteExplanation.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace lagoontiller::gateway {

namespace {

using nlohmann::json;

double milliseconds(core::Duration duration)
{
    return static_cast<double>(duration.count()) / 1'000;
}

bool isUndecided(StepState state) noexcept
{
    return state == StepState::Drawn || state == StepState::Unknown;
}

/// \brief Why the endpoint, although not excluded, gets a call only if there is no better one; empty if it is not so.
std::string_view avoidedAs(const ExplainedEndpoint& endpoint) noexcept
{
    if (endpoint.cost.ejectedMs > 0)
        return "ejected";
    if (endpoint.cost.fullMs > 0)
        return "full";
    return endpoint.randomPenaltyMs > 0 ? "slow_start" : "";
}

json toJson(const ExplainedResponse& response)
{
    json result = { { "status", response.status }, { "cause", response.cause } };
    if (response.retryAfter > core::Duration::zero())
        result["retry_after_ms"] = milliseconds(response.retryAfter);
    return result;
}

json toJson(const ExplainedStep& step)
{
    json result = { { "step", toString(step.step) }, { "state", toString(step.state) } };
    if (!step.decidedBy.empty())
        result["decided_by"] = step.decidedBy;
    if (step.passShare)
        result["pass_share"] = *step.passShare;
    if (step.wait)
        result["wait_ms"] = milliseconds(*step.wait);
    if (step.response)
        result["response"] = toJson(*step.response);
    return result;
}

json toJson(const ExplainedEndpoint& endpoint)
{
    json result = { { "id", endpoint.id }, { "address", endpoint.address }, { "zone", endpoint.zone },
        { "version", endpoint.version }, { "traffic_share", endpoint.trafficShare },
        { "may_be_chosen", endpoint.mayBeChosen } };
    if (endpoint.exclusion != Exclusion::None) {
        result["excluded"] = toString(endpoint.exclusion);
        if (endpoint.sendsIn)
            result["sends_in_ms"] = milliseconds(*endpoint.sendsIn);
        return result;
    }
    const auto& cost = endpoint.cost;
    result["cost_ms"] = { { "total", cost.total() }, { "network", cost.networkMs }, { "load", cost.loadMs },
        { "outstanding", cost.outstandingMs }, { "prompt", cost.promptMs }, { "cache_miss", cost.cacheMissMs },
        { "full", cost.fullMs }, { "ejected", cost.ejectedMs }, { "random_penalty", endpoint.randomPenaltyMs } };
    result["cached_tokens"] = endpoint.cachedTokens;
    if (const auto avoided = avoidedAs(endpoint); !avoided.empty())
        result["avoided"] = avoided;
    return result;
}

} // namespace

RouteOutcome RouteExplanation::outcome() const
{
    switch (this->decidingStep().state) {
    case StepState::Refuses:
        return RouteOutcome::Refused;
    case StepState::Waits:
        return RouteOutcome::Waits;
    case StepState::Drawn:
    case StepState::Unknown:
        return RouteOutcome::Undecided;
    case StepState::NotNeeded:
    case StepState::Passes:
        break;
    }
    return RouteOutcome::Sent;
}

const ExplainedStep& RouteExplanation::decidingStep() const
{
    const auto first = [this](const auto& matches) {
        return std::find_if(
            this->steps.begin(), this->steps.end(), [&](const auto& each) { return matches(each.state); });
    };
    // A certain refusal counts more than a step before it that may refuse the call as well.
    auto found = first([](StepState state) { return state == StepState::Refuses; });
    if (found == this->steps.end())
        found = first(isUndecided);
    if (found == this->steps.end())
        found = first([](StepState state) { return state == StepState::Waits; });
    return found == this->steps.end() ? this->steps.back() : *found;
}

ExplainedResponse RouteExplanation::rejection() const
{
    const auto& deciding = this->decidingStep();
    return deciding.response.value_or(this->steps.back().response.value_or(ExplainedResponse()));
}

void markLikelyEndpoints(std::vector<ExplainedEndpoint>& endpoints)
{
    double lowestMaximum = std::numeric_limits<double>::max();
    for (const auto& each : endpoints) {
        if (each.exclusion == Exclusion::None)
            lowestMaximum = std::min(lowestMaximum, each.cost.total() + EndpointCost::spreadMs + each.randomPenaltyMs);
    }
    for (auto& each : endpoints)
        each.mayBeChosen = each.exclusion == Exclusion::None && each.cost.total() < lowestMaximum;
}

std::string_view toString(RouteStep step) noexcept
{
    switch (step) {
    case RouteStep::Admission:
        return "admission";
    case RouteStep::NewProgram:
        return "new_program";
    case RouteStep::Budget:
        return "budget";
    case RouteStep::History:
        return "history";
    case RouteStep::StreamOrigin:
        return "stream_origin";
    case RouteStep::VersionList:
        return "version_list";
    case RouteStep::Quota:
        return "quota";
    case RouteStep::Placement:
        return "placement";
    }
    return "unknown";
}

std::string_view toString(StepState state) noexcept
{
    switch (state) {
    case StepState::NotNeeded:
        return "not_needed";
    case StepState::Passes:
        return "passes";
    case StepState::Refuses:
        return "refuses";
    case StepState::Waits:
        return "waits";
    case StepState::Drawn:
        return "drawn";
    case StepState::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(RouteOutcome outcome) noexcept
{
    switch (outcome) {
    case RouteOutcome::Sent:
        return "sent";
    case RouteOutcome::Waits:
        return "waits";
    case RouteOutcome::Refused:
        return "refused";
    case RouteOutcome::Undecided:
        break;
    }
    return "undecided";
}

std::string_view toString(Exclusion exclusion) noexcept
{
    switch (exclusion) {
    case Exclusion::None:
        break;
    case Exclusion::Draining:
        return "draining";
    case Exclusion::Probing:
        return "ejected";
    case Exclusion::OtherVersion:
        return "other_version";
    case Exclusion::Tried:
        return "tried";
    case Exclusion::RateLimit:
        return "rate_limit";
    }
    return "";
}

json toJson(const RouteExplanation& explanation)
{
    json result
        = { { "outcome", toString(explanation.outcome()) }, { "decided_by", toString(explanation.decidingStep().step) },
              { "response_if_rejected", toJson(explanation.rejection()) },
              { "configuration", explanation.configurationVersion ? json(*explanation.configurationVersion) : json() },
              { "store_reachable", explanation.storeReachable }, { "requires_key", explanation.requiresKey },
              { "steps", json::array() }, { "endpoints", json::array() } };
    if (!explanation.route.empty()) {
        result["route"] = explanation.route;
        result["public"] = explanation.isPublic;
    }
    if (explanation.account) {
        result["account"] = { { "name", explanation.account->name }, { "priority", explanation.account->priority },
            { "rate_per_second", explanation.account->ratePerSecond } };
    }
    if (!explanation.service.empty()) {
        result["service"] = explanation.service;
        result["versions"] = explanation.versions;
    }
    for (const auto& step : explanation.steps)
        result["steps"].push_back(toJson(step));
    for (const auto& endpoint : explanation.endpoints)
        result["endpoints"].push_back(toJson(endpoint));
    return result;
}

} // namespace lagoontiller::gateway
