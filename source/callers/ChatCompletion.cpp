#include "callers/ChatCompletion.h"

namespace lagoontiller::callers {

namespace {

using nlohmann::json;

// Replaces malformed UTF-8 from an engine; json::dump() would otherwise throw in the middle of a stream.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageJson(const engines::EngineUsage& usage)
{
    return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens }, { "cached_tokens", usage.cachedTokens } };
}

json chunkJson(const ChatCompletionMetadata& metadata, json delta, json finishReason)
{
    return { { "id", metadata.requestId }, { "object", "chat.completion.chunk" },
        { "created", metadata.createdUnixSeconds }, { "model", metadata.model },
        { "choices",
            json::array({ { { "index", 0 }, { "delta", std::move(delta) },
                { "finish_reason", std::move(finishReason) } } }) } };
}

std::string serverSentEvent(const json& value)
{
    return "data: " + dump(value) + "\n\n";
}

std::string finishReasonOf(const engines::EngineFinished& result)
{
    return result.finishReason.empty() ? "stop" : result.finishReason;
}

} // namespace

std::string textChunk(const ChatCompletionMetadata& metadata, const std::string& text)
{
    return serverSentEvent(chunkJson(metadata, { { "content", text } }, nullptr));
}

std::string finishChunk(const ChatCompletionMetadata& metadata, const engines::EngineFinished& result)
{
    json delta = json::object();
    if (!result.toolCalls.empty())
        delta["tool_calls"] = result.toolCalls;
    auto value = chunkJson(metadata, std::move(delta), finishReasonOf(result));
    value["usage"] = usageJson(result.usage);
    return serverSentEvent(value);
}

std::string commitEvents(const std::string& program, std::uint32_t turn, const std::string& commitState)
{
    const json data { { "commit", commitState }, { "program", program }, { "turn", turn } };
    return "event: lagoontiller.commit\ndata: " + dump(data) + "\n\ndata: [DONE]\n\n";
}

json assistantMessage(const std::string& text, const engines::EngineFinished& result)
{
    json message { { "role", "assistant" }, { "content", text } };
    if (!result.toolCalls.empty())
        message["tool_calls"] = result.toolCalls;
    return message;
}

std::string completionBody(
    const ChatCompletionMetadata& metadata, const std::string& text, const engines::EngineFinished& result)
{
    const json choice { { "index", 0 }, { "message", assistantMessage(text, result) },
        { "finish_reason", finishReasonOf(result) } };
    return dump({ { "id", metadata.requestId }, { "object", "chat.completion" },
        { "created", metadata.createdUnixSeconds }, { "model", metadata.model }, { "choices", json::array({ choice }) },
        { "usage", usageJson(result.usage) } });
}

std::string errorBody(const core::Error& error, std::uint64_t retryAfterMs)
{
    return dump({ { "error",
        { { "code", static_cast<int>(error.code) }, { "name", core::name(error.code) }, { "message", error.message },
            { "ran", core::name(error.ran) }, { "retry_after_ms", retryAfterMs } } } });
}

http::Headers errorHeaders(const core::Error& error, std::uint64_t retryAfterMs)
{
    http::Headers headers { { "Content-Type", "application/json" },
        { "X-Result-Code", std::to_string(static_cast<int>(error.code)) } };
    if (retryAfterMs > 0)
        headers.push_back({ "Retry-After", std::to_string((retryAfterMs + 999) / 1000) });
    return headers;
}

std::string storedCompletionAsEvents(const std::string& completionBody)
{
    auto completion = json::parse(completionBody, nullptr, false);
    if (!completion.is_object() || !completion.contains("choices") || completion["choices"].empty())
        return {};
    const auto& choice = completion["choices"][0];
    json delta = choice.value("message", json::object());
    auto value = chunkJson(
        { completion.value("id", ""), completion.value("model", ""), completion.value("created", std::int64_t(0)) },
        std::move(delta), choice.value("finish_reason", "stop"));
    value["usage"] = completion.value("usage", json::object());
    return serverSentEvent(value);
}

} // namespace lagoontiller::callers
