#pragma once

#include "core/Time.h"
#include "transport/Message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::gateway {

/// \brief What may be done twice with a call.
enum class CallKind : int {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/// \brief A service and its part of a route's calls.
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
    /// \brief Longest pause between events for a stream that is still on time.
    core::Duration targetGap {};
    /// \brief 0 is the most important.
    int priority = 0;
    std::vector<WeightedService> services;
    int maxAttempts = 2;
    /// \brief Calls are turns that carry only their new input.
    bool keepsHistory = false;
    core::Duration retention {};
    /// \brief Endpoints that handled the same object or prompt recently are faster.
    bool sticky = false;
    /// \brief A broken stream may be resumed on another endpoint.
    bool resumable = false;
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

/// \brief What a caller may send and how long it may take.
struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4U << 20U;
    core::Duration headerTimeout = std::chrono::seconds(3);
    core::Duration idleTimeout = std::chrono::seconds(15);
    [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/// \brief One accepted configuration in full.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    [[nodiscard]] bool operator==(const Configuration&) const = default;
};

/// \brief A back-end process as it describes itself.
struct Endpoint {
    std::string id;
    std::string service;
    /// \brief IP:port.
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// \brief Start of the process in Unix milliseconds; tells two processes with the same id apart.
    std::int64_t startedAt = 0;
    [[nodiscard]] bool operator==(const Endpoint&) const = default;
};

/// \brief A part of a prompt that may be cached on its own.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
    [[nodiscard]] bool operator==(const PromptPart&) const = default;
};

/// \brief A caller's call as the gateway decides about it.
struct Call {
    std::string id;
    std::string host;
    std::string method;
    /// \brief Path with query, unchanged.
    std::string target;
    /// \brief Time that the caller still waits.
    std::optional<core::Duration> deadline;
    /// \brief Empty for calls that belong to no program.
    std::string program;
    std::string session;
    /// \brief Time in which the program should end.
    std::optional<core::Duration> programTime;
    /// \brief Output tokens that all turns of the program may generate.
    std::optional<std::uint64_t> tokenBudget;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    /// \brief Turn that this one continues; empty at the start of a chain.
    std::string previousTurn;
    /// \brief Object that the call concerns; empty when unknown.
    std::string affinity;
    /// \brief Last event that the caller already has.
    std::optional<std::uint64_t> lastEvent;
    /// \brief Fields that are forwarded unchanged.
    transport::Fields forwarded;
    std::string body;

    [[nodiscard]] std::string_view path() const noexcept
    {
        return std::string_view(this->target).substr(0, this->target.find('?'));
    }
};

/// \brief What an endpoint's response says before its body.
struct EndpointResponse {
    int status = 0;
    /// \brief The endpoint states that it did not run the call.
    bool notExecuted = false;
    /// \brief Another process has the endpoint's address.
    bool wrongEndpoint = false;
    /// \brief The response has the proof of its origin, without which a success does not count.
    bool hasOriginProof = false;
    bool eventStream = false;
    /// \brief The body has a coding that the caller did not ask for.
    bool hasContentCoding = false;
    transport::Fields fields;
    transport::Framing framing = transport::Framing::Length;
};

[[nodiscard]] constexpr bool isSuccess(int status) noexcept
{
    return status >= 200 && status < 300;
}

} // namespace lagoontiller::gateway
