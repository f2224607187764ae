#pragma once

#include "core/Error.h"
#include "engines/EngineClient.h"
#include "http/Message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::callers {

/// \brief Fields that are repeated in every chunk of a response.
struct ChatCompletionMetadata {
    std::string requestId;
    std::string model;
    std::int64_t createdUnixSeconds = 0;
};

/// \brief A `data:` event with a part of the text, in the format of an OpenAI chat completion chunk.
[[nodiscard]] std::string textChunk(const ChatCompletionMetadata& metadata, const std::string& text);

/// \brief The event that ends the generated part of a stream, with tool calls, finish reason and usage.
[[nodiscard]] std::string finishChunk(const ChatCompletionMetadata& metadata, const engines::EngineFinished& result);

/// \brief The events that end a stream: the commit state, then `[DONE]`.
[[nodiscard]] std::string commitEvents(const std::string& program, std::uint32_t turn, const std::string& commitState);

/// \brief Body of the response to a model call without streaming: a chat completion object as JSON text.
[[nodiscard]] std::string completionBody(
    const ChatCompletionMetadata& metadata, const std::string& text, const engines::EngineFinished& result);

/// \brief The assistant message of a response, as stored in the history.
[[nodiscard]] nlohmann::json assistantMessage(const std::string& text, const engines::EngineFinished& result);

/// \brief Body of an error response: `{"error":{"code","name","message","ran","retry_after_ms"}}`.
[[nodiscard]] std::string errorBody(const core::Error& error, std::uint64_t retryAfterMs);

/// \brief Headers of an error response: Content-Type, X-Result-Code and, if `retryAfterMs` is not 0, Retry-After in
/// seconds, rounded up.
[[nodiscard]] http::Headers errorHeaders(const core::Error& error, std::uint64_t retryAfterMs);

/// \brief Converts a stored completion body to stream events, for callers that fetch a turn again as a stream; empty if
/// the body is not a completion.
[[nodiscard]] std::string storedCompletionAsEvents(const std::string& completionBody);

} // namespace lagoontiller::callers
