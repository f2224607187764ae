#pragma once

#include "core/Time.h"
#include "transport/Message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Whether and how a call may be retried.
enum class CallKind : int {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/// \brief A service and its share of a route's calls.
struct WeightedService {
    std::string service;
    double weight = 1;
    [[nodiscard]] bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    CallKind kind = CallKind::Idempotent;
    core::Duration timeout {};
    core::Duration targetLatency {};
    /// \brief Maximum pause between events of a stream that is on time.
    core::Duration targetGap {};
    /// \brief 0 is the most important.
    int priority = 0;
    std::vector<WeightedService> services;
    int maxAttempts = 2;
    /// \brief Calls are turns that contain only their new input; the gateway prepends the history.
    bool keepsHistory = false;
    core::Duration retention {};
    /// \brief Endpoints that recently handled the same object or prompt respond faster.
    bool sticky = false;
    /// \brief A broken stream may be resumed at another endpoint.
    bool resumable = false;
    /// \brief Callers need no key.
    bool isPublic = false;
    [[nodiscard]] bool operator==(const Route&) const = default;
};

/// \brief Properties of a service's model engines.
struct EngineTraits {
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    std::uint32_t tokensPerEvent = 1;
    [[nodiscard]] bool operator==(const EngineTraits&) const = default;
};

struct Service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    std::optional<EngineTraits> engine;
    [[nodiscard]] bool operator==(const Service&) const = default;
};

/// \brief Limits for callers' requests.
struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4U << 20U;
    core::Duration headerTimeout = std::chrono::seconds(3);
    core::Duration idleTimeout = std::chrono::seconds(15);
    [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/// \brief A client account: who may call with which keys, and how much.
struct Account {
    std::string name;
    /// \brief Digests of the account's keys (`digestKey`); the keys themselves are not kept.
    std::vector<std::string> keyDigests;
    /// \brief 0 is the most important; goes before the priority of the route.
    int priority = 0;
    /// \brief Calls per second over all nodes together; 0 for no limit.
    double ratePerSecond = 0;
    /// \brief Calls beyond the rate that may come at once.
    double burst = 0;
    [[nodiscard]] bool operator==(const Account&) const = default;
};

/// \brief One accepted configuration.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /// \brief Client accounts; if there are none, callers need no keys.
    std::vector<Account> accounts {};
    [[nodiscard]] bool operator==(const Configuration&) const = default;
};

/// \brief A back-end process as described by its entry in the store.
struct Endpoint {
    std::string id;
    std::string service;
    /// \brief IP:port.
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// \brief Start of the process in Unix milliseconds; distinguishes processes with the same id.
    std::int64_t startedAt = 0;
    /// \brief Version of its software. Output of different versions does not fit together.
    std::string version {};
    [[nodiscard]] bool operator==(const Endpoint&) const = default;
};

/// \brief A part of a prompt that may be cached separately.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
    [[nodiscard]] bool operator==(const PromptPart&) const = default;
};

/// \brief A caller's request, decoded.
struct Call {
    /// \brief Id of the request as its caller sent it.
    std::string id;
    /// \brief The same as part of keys in the store. Like all ids below it is valid UTF-8 of limited length.
    std::string storedId {};
    std::string host;
    std::string method;
    /// \brief Path and query, unchanged.
    std::string target;
    /// \brief Time until the caller's deadline.
    std::optional<core::Duration> deadline;
    /// \brief Empty for calls that belong to no program.
    std::string program;
    std::string session;
    /// \brief Time until the deadline of the program.
    std::optional<core::Duration> programTime;
    /// \brief Maximum number of output tokens of all turns of the program.
    std::optional<std::uint64_t> tokenBudget;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    /// \brief Id of the preceding turn; empty at the start of a chain.
    std::string previousTurn;
    /// \brief Object that the call refers to; empty if unknown.
    std::string affinity;
    /// \brief Id of the last event that the caller has received.
    std::optional<std::uint64_t> lastEvent;
    /// \brief Id of the call that brought the first event of the stream that this call resumes.
    std::string resumedStream {};
    /// \brief Header fields that are forwarded unchanged.
    transport::Fields forwarded;
    /// \brief Key of the caller's account; empty without exactly one key. Cleared once the account is known.
    std::string key {};
    /// \brief Prefix of all ids under which the gateway keeps state for the call, so that accounts cannot reach each
    /// other's; empty without accounts.
    std::string scope {};
    std::string body;
    /// \brief IP address of the caller's connection.
    std::string clientAddress {};

    [[nodiscard]] std::string_view path() const noexcept
    {
        return std::string_view(this->target).substr(0, this->target.find('?'));
    }
    /// \brief Id under which the gateway keeps state of this call, such as its turn; unique over all accounts.
    [[nodiscard]] std::string scopedId() const { return this->scope + this->storedId; }
};

/// \brief Status and header fields of an endpoint's response.
struct EndpointResponse {
    int status = 0;
    /// \brief The endpoint states that it did not execute the call.
    bool notExecuted = false;
    /// \brief The address now belongs to another process.
    bool wrongEndpoint = false;
    /// \brief The response has the signature header that proves its origin; a success without it does not count.
    bool hasOriginProof = false;
    bool eventStream = false;
    /// \brief The body states that it is JSON.
    bool json = false;
    /// \brief The endpoint is shutting down and takes no new calls.
    bool leaving = false;
    /// \brief Calls per second that the endpoint accepts from all nodes together, if it states a limit.
    std::optional<double> rateLimit;
    /// \brief The body has a content coding that the caller did not request.
    bool hasContentCoding = false;
    transport::Fields fields;
    transport::Framing framing = transport::Framing::Length;
};

[[nodiscard]] constexpr bool isSuccess(int status) noexcept
{
    return status >= 200 && status < 300;
}

} // namespace lagoontiller::gateway
