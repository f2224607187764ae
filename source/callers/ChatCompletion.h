#pragma once

#include "core/Error.h"
#include "engines/EngineClient.h"
#include "http/Message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::callers {

/// \brief Fields that every chunk of one answer repeats.
struct ChatCompletionMetadata {
    std::string requestId;
    std::string model;
    std::int64_t createdUnixSeconds = 0;
};

/// \brief One `data:` event with a piece of text, in the form of OpenAI chat completion chunks.
[[nodiscard]] std::string textChunk(const ChatCompletionMetadata& head, const std::string& text);

/// \brief The event with tool calls, finish reason and usage that ends the generated part of a stream.
[[nodiscard]] std::string finishChunk(const ChatCompletionMetadata& head, const engines::EngineFinished& result);

/// \brief The events that close a stream: the commit state, then `[DONE]`.
[[nodiscard]] std::string commitEvents(const std::string& program, std::uint32_t turn, const std::string& commitState);

/// \brief The whole answer of a model call as JSON text.
[[nodiscard]] std::string completionBody(
    const ChatCompletionMetadata& head, const std::string& text, const engines::EngineFinished& result);

/// \brief The assistant's message of an answer, as it enters the history.
[[nodiscard]] nlohmann::json assistantMessage(const std::string& text, const engines::EngineFinished& result);

/// \brief Body of a refusal: `{"error":{"code","name","message","ran","retry_after_ms"}}`.
[[nodiscard]] std::string errorBody(const core::Error& error, std::uint64_t retryAfterMs);

/// \brief Headers of a refusal: content type, X-Result-Code and, when it makes sense to try again, Retry-After.
[[nodiscard]] http::Headers errorHeaders(const core::Error& error, std::uint64_t retryAfterMs);

/// \brief Converts a stored whole answer into the events of a stream, for callers that fetch a turn again as a stream.
[[nodiscard]] std::string storedCompletionAsEvents(const std::string& completionBody);

} // namespace lagoontiller::callers
