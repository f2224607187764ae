#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::engines {

/// \brief One generation on one engine.
struct EngineRequest {
    /// \brief `ip:port` of the engine.
    std::string endpoint;
    std::string requestId;
    /// \brief Key of the engine's prefix cache: customer and program, so that programs of two customers never share.
    std::string cacheKey;
    /// \brief 0 to 9, 9 first.
    int priority = 5;
    /// \brief The caller's body with the full list of messages; the fields below are added to it.
    nlohmann::json body;
    /// \brief Text that an earlier attempt has already generated; the engine continues after it.
    std::string resumeText;
    core::Duration firstByteTimeout = std::chrono::seconds(30);
    core::Duration silenceTimeout = std::chrono::seconds(10);
};

struct EngineUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
    [[nodiscard]] bool operator==(const EngineUsage&) const = default;
};

/// \brief The engine accepted the request and its response began.
struct EngineStarted { };

struct EngineText {
    std::string text;
};

struct EngineFinished {
    EngineUsage usage;
    std::string finishReason;
    /// \brief Tool-call deltas in the order received; delivered whole so that a resumed stream never doubles them.
    std::vector<nlohmann::json> toolCalls;
};

struct EngineFailed {
    /// \brief Transport failure, or NoAnswer with a status when the engine refused.
    http::FailureKind kind = http::FailureKind::NoAnswer;
    int status = 0;
    std::string message;
};

using EngineEvent = std::variant<EngineStarted, EngineText, EngineFinished, EngineFailed>;

/// \brief Load that an engine reports, sampled at `sampledMs` (Unix time by the engine's clock, 0 when unknown).
struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvCapacity = 0;
    std::int64_t sampledMs = 0;
};

/// \brief Model engines. Handlers run on the HTTP traffic thread.
class EngineClient {
public:
    using Handler = std::function<void(const EngineEvent&)>;

    explicit EngineClient(http::Client& client);

    /// \brief Starts a generation. The last event is EngineFinished or EngineFailed.
    [[nodiscard]] http::RequestId generate(const EngineRequest& request, Handler handler) const;
    void cancel(const std::string& endpoint, const std::string& requestId) const;
    /// \brief Frees the program's cache; the handler gets true when the engine confirmed.
    void releaseCache(
        const std::string& endpoint, const std::string& cacheKey, std::function<void(bool)> handler) const;
    void fetchLoad(const std::string& endpoint, std::function<void(core::Expected<EngineLoad>)> handler) const;
    /// \brief Moves the program's cache from one engine to another. The handler runs when the move is over; false when
    /// the destination has to compute the prompt itself.
    void moveCache(const std::string& source, const std::string& destination, const std::string& cacheKey,
        const std::function<void(bool)>& handler) const;
    /// \brief Orders a model load, adapter load or role change; StaleFence when the engine knows a newer fence.
    void sendOrder(const std::string& endpoint, const nlohmann::json& order,
        std::function<void(core::Expected<void>)> handler) const;

private:
    http::Client& client;
};

} // namespace lagoontiller::engines
