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

/// \brief A request to an inference engine to generate a response.
struct EngineRequest {
    /// \brief `ip:port` of the engine.
    std::string endpoint;
    std::string requestId;
    /// \brief Key of the program in the engine's prefix cache. It contains the customer, so that programs of different
    /// customers never share cached prefixes.
    std::string cacheKey;
    /// \brief 0 to 9; requests with a higher value run first.
    int priority = 5;
    /// \brief The caller's body with the complete list of messages; generate() adds the engine's fields to it.
    nlohmann::json body;
    /// \brief Text that an earlier attempt has already generated; the engine continues after it. May be empty.
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

/// \brief The engine accepted the request and its response started.
struct EngineStarted { };

/// \brief The next part of the generated text.
struct EngineText {
    std::string text;
};

struct EngineFinished {
    EngineUsage usage;
    std::string finishReason;
    /// \brief Tool-call deltas in the order received. They are delivered only with this event, so that a resumed stream
    /// does not repeat them.
    std::vector<nlohmann::json> toolCalls;
};

struct EngineFailed {
    /// \brief Transport failure, or NoAnswer with the HTTP status if the engine rejected the request.
    http::FailureKind kind = http::FailureKind::NoAnswer;
    int status = 0;
    std::string message;
};

using EngineEvent = std::variant<EngineStarted, EngineText, EngineFinished, EngineFailed>;

/// \brief Load report of an engine, sampled at `sampledMs` (Unix time in ms by the engine's clock, 0 if unknown).
struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// \brief Used size and total size of the KV cache, both in the same unit of the engine.
    std::uint64_t kvUsed = 0;
    std::uint64_t kvCapacity = 0;
    std::int64_t sampledMs = 0;
};

/// \brief Client for inference engines. Handlers run on the I/O thread of the HTTP client.
class EngineClient {
public:
    using Handler = std::function<void(const EngineEvent&)>;

    explicit EngineClient(http::Client& client);

    /// \brief Starts a generation and returns the id of its HTTP request. The last event is EngineFinished or
    /// EngineFailed.
    [[nodiscard]] http::RequestId generate(const EngineRequest& request, Handler handler) const;
    /// \brief Asks the engine to stop a generation; the result of the request is ignored.
    void cancel(const std::string& endpoint, const std::string& requestId) const;
    /// \brief Frees the program's prefix cache; the handler receives true if the engine confirmed it.
    void releaseCache(
        const std::string& endpoint, const std::string& cacheKey, std::function<void(bool)> handler) const;
    /// \brief Reads the engine's load report. Error: EndpointFailed.
    void fetchLoad(const std::string& endpoint, std::function<void(core::Expected<EngineLoad>)> handler) const;
    /// \brief Moves the program's prefix cache from `source` to `destination`. The handler receives true if the
    /// destination imported the cache, and false if it has to compute the prompt itself.
    void moveCache(const std::string& source, const std::string& destination, const std::string& cacheKey,
        const std::function<void(bool)>& handler) const;
    /// \brief Orders a model load, adapter load or role change. Errors: StaleFence if the engine knows a newer fence,
    /// EndpointRefused for another error status, and EndpointFailed with MayHaveRun if no response was received.
    void sendOrder(const std::string& endpoint, const nlohmann::json& order,
        std::function<void(core::Expected<void>)> handler) const;

private:
    http::Client& client;
};

} // namespace lagoontiller::engines
