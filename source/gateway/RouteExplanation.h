#pragma once

#include "gateway/Placement.h"

#include <nlohmann/json_fwd.hpp>

namespace lagoontiller::gateway {

/// \brief A response that the gateway itself would send.
struct ExplainedResponse {
    int status = 0;
    /// \brief The outcome that the gateway logs with it.
    std::string cause;
    /// \brief Zero if the response states no time to return, or if only another node knows that time.
    core::Duration retryAfter {};
    [[nodiscard]] bool operator==(const ExplainedResponse&) const = default;
};

/// \brief A check that a call passes on its way to an endpoint, in this order.
enum class RouteStep : int {
    /// \brief Configuration, route, key, isolation, service, planned stop.
    Admission,
    NewProgram,
    Budget,
    History,
    StreamOrigin,
    VersionList,
    Quota,
    Placement,
};

enum class StepState : int {
    NotNeeded,
    Passes,
    Refuses,
    /// \brief The call waits and passes then.
    Waits,
    /// \brief Passes or refuses at random, with the probability `ExplainedStep::passShare` to pass.
    Drawn,
    /// \brief Another node or the store decides, which an explanation does not ask.
    Unknown,
};

struct ExplainedStep {
    RouteStep step = RouteStep::Admission;
    StepState state = StepState::NotNeeded;
    /// \brief What decides: `here`, `store`, or the peer address of another node.
    std::string decidedBy {};
    /// \brief Only for `StepState::Drawn`, from 0 to 1.
    std::optional<double> passShare {};
    /// \brief Time until the step passes or refuses the call; empty if that is at once or not known.
    std::optional<core::Duration> wait {};
    /// \brief Response if the step refuses the call.
    std::optional<ExplainedResponse> response {};
    [[nodiscard]] bool operator==(const ExplainedStep&) const = default;
};

struct ExplainedEndpoint {
    std::string id;
    std::string address;
    std::string zone;
    std::string version;
    Exclusion exclusion = Exclusion::None;
    EndpointCost cost;
    /// \brief Part of its usual calls that the endpoint takes, from 0 (ejected) to 1.
    double trafficShare = 1;
    double randomPenaltyMs = 0;
    std::uint64_t cachedTokens = 0;
    /// \brief Time until its rate limit permits a call of this node; only for `Exclusion::RateLimit`, and empty there
    /// if this node has no share of the limit.
    std::optional<core::Duration> sendsIn {};
    /// \brief Whether the call may be sent to it now; several endpoints whose costs differ by less than the random part
    /// may get it.
    bool mayBeChosen = false;
    [[nodiscard]] bool operator==(const ExplainedEndpoint&) const = default;
};

struct ExplainedAccount {
    std::string name;
    int priority = 0;
    /// \brief Calls per second over all nodes together; 0 for no limit.
    double ratePerSecond = 0;
    [[nodiscard]] bool operator==(const ExplainedAccount&) const = default;
};

enum class RouteOutcome : int {
    Sent,
    Waits,
    Refused,
    /// \brief Chance, another node or the store decides.
    Undecided,
};

/// \brief What a gateway would do with a call now, and why.
struct RouteExplanation {
    /// \brief Empty without a configuration.
    std::optional<std::uint64_t> configurationVersion;
    bool storeReachable = false;
    /// \brief Empty if no route fits or before it is known; likewise below.
    std::string route;
    /// \brief Whether the configuration has accounts, and whether the route needs none.
    bool requiresKey = false;
    bool isPublic = false;
    std::optional<ExplainedAccount> account;
    std::string service;
    /// \brief Software versions that may take the call; any if empty.
    std::set<std::string> versions;
    std::vector<ExplainedStep> steps;
    std::vector<ExplainedEndpoint> endpoints;

    [[nodiscard]] RouteOutcome outcome() const;
    /// \brief The step that decides the outcome; the last one if the call is sent. Requires that there is a step.
    [[nodiscard]] const ExplainedStep& decidingStep() const;
    /// \brief The response that the client would get if the call were rejected now.
    [[nodiscard]] ExplainedResponse rejection() const;
    [[nodiscard]] bool operator==(const RouteExplanation&) const = default;
};

/// \brief Marks the endpoints that may have the lowest cost once the random parts are added.
void markLikelyEndpoints(std::vector<ExplainedEndpoint>& endpoints);

[[nodiscard]] std::string_view toString(RouteStep step) noexcept;
[[nodiscard]] std::string_view toString(StepState state) noexcept;
[[nodiscard]] std::string_view toString(RouteOutcome outcome) noexcept;
/// \brief Empty for `Exclusion::None`.
[[nodiscard]] std::string_view toString(Exclusion exclusion) noexcept;

/// \brief Times are in milliseconds. Contains neither keys nor bodies.
[[nodiscard]] nlohmann::json toJson(const RouteExplanation& explanation);

} // namespace lagoontiller::gateway
