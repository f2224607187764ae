#include "callers/ChatAnswer.h"

namespace lagoontiller::callers {

namespace {

using nlohmann::json;

// Replaces malformed UTF-8 from an engine instead of throwing in the middle of a stream.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageOf(const engines::EngineUsage& usage)
{
    return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens }, { "cached_tokens", usage.cachedTokens } };
}

json chunk(const ChatHead& head, json delta, json finishReason)
{
    return { { "id", head.requestId }, { "object", "chat.completion.chunk" }, { "created", head.createdUnixSeconds },
        { "model", head.model },
        { "choices",
            json::array({ { { "index", 0 }, { "delta", std::move(delta) },
                { "finish_reason", std::move(finishReason) } } }) } };
}

std::string event(const json& value)
{
    return "data: " + dump(value) + "\n\n";
}

std::string reasonOf(const engines::EngineFinished& result)
{
    return result.finishReason.empty() ? "stop" : result.finishReason;
}

} // namespace

std::string textChunk(const ChatHead& head, const std::string& text)
{
    return event(chunk(head, { { "content", text } }, nullptr));
}

std::string finishChunk(const ChatHead& head, const engines::EngineFinished& result)
{
    json delta = json::object();
    if (!result.toolCalls.empty())
        delta["tool_calls"] = result.toolCalls;
    auto value = chunk(head, std::move(delta), reasonOf(result));
    value["usage"] = usageOf(result.usage);
    return event(value);
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

std::string wholeAnswer(const ChatHead& head, const std::string& text, const engines::EngineFinished& result)
{
    const json choice { { "index", 0 }, { "message", assistantMessage(text, result) },
        { "finish_reason", reasonOf(result) } };
    return dump({ { "id", head.requestId }, { "object", "chat.completion" }, { "created", head.createdUnixSeconds },
        { "model", head.model }, { "choices", json::array({ choice }) }, { "usage", usageOf(result.usage) } });
}

std::string refusalBody(const core::Error& error, std::uint64_t retryAfterMs)
{
    return dump({ { "error",
        { { "code", static_cast<int>(error.code) }, { "name", core::name(error.code) }, { "message", error.message },
            { "ran", core::name(error.ran) }, { "retry_after_ms", retryAfterMs } } } });
}

http::Headers refusalHeaders(const core::Error& error, std::uint64_t retryAfterMs)
{
    http::Headers headers { { "Content-Type", "application/json" },
        { "X-Result-Code", std::to_string(static_cast<int>(error.code)) } };
    if (retryAfterMs > 0)
        headers.push_back({ "Retry-After", std::to_string((retryAfterMs + 999) / 1000) });
    return headers;
}

std::string storedAnswerAsEvents(const std::string& wholeAnswer)
{
    auto answer = json::parse(wholeAnswer, nullptr, false);
    if (!answer.is_object() || !answer.contains("choices") || answer["choices"].empty())
        return {};
    const auto& choice = answer["choices"][0];
    json delta = choice.value("message", json::object());
    auto value = chunk({ answer.value("id", ""), answer.value("model", ""), answer.value("created", std::int64_t(0)) },
        std::move(delta), choice.value("finish_reason", "stop"));
    value["usage"] = answer.value("usage", json::object());
    return event(value);
}

} // namespace lagoontiller::callers
