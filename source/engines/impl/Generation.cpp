#include "engines/impl/Generation.h"

namespace lagoontiller::engines::impl {

namespace {

constexpr std::size_t maxErrorBodyBytes = 4096;

} // namespace

Generation::Generation(EngineClient::Handler handler)
    : handler(std::move(handler))
{
}

void Generation::operator()(const http::ResponseHead& head)
{
    this->status = head.status;
    if (head.status == 200)
        this->handler(EngineStarted {});
}

void Generation::operator()(const http::ResponseData& data)
{
    if (this->status == 200)
        this->events.feed(data.bytes, [this](std::string_view payload) { this->handlePayload(payload); });
    else if (this->errorBody.size() < maxErrorBodyBytes)
        this->errorBody.append(data.bytes);
}

void Generation::handlePayload(std::string_view payload)
{
    // An exception must not propagate through a libcurl callback: a field of an unexpected type invalidates this event
    // only, and the generation continues.
    try {
        this->handleEvent(payload);
    } catch (const nlohmann::json::exception&) {
        ++this->malformedEvents;
    }
}

void Generation::handleEvent(std::string_view payload)
{
    if (this->doneReceived)
        return;
    if (payload == "[DONE]") {
        this->doneReceived = true;
        return;
    }
    const auto event = nlohmann::json::parse(payload, nullptr, false);
    if (!event.is_object())
        return;
    if (event.contains("usage") && event["usage"].is_object()) {
        const auto& usage = event["usage"];
        this->result.usage.promptTokens = usage.value("prompt_tokens", std::uint64_t(0));
        this->result.usage.completionTokens = usage.value("completion_tokens", std::uint64_t(0));
        this->result.usage.cachedTokens = usage.value("cached_tokens", std::uint64_t(0));
    }
    if (event.contains("choices") && event["choices"].is_array() && !event["choices"].empty())
        this->handleChoice(event["choices"][0]);
}

void Generation::handleChoice(const nlohmann::json& choice)
{
    if (choice.contains("delta") && choice["delta"].is_object()) {
        const auto& delta = choice["delta"];
        if (delta.contains("content") && delta["content"].is_string())
            this->handler(EngineText { delta["content"].get<std::string>() });
        if (delta.contains("tool_calls") && delta["tool_calls"].is_array())
            this->result.toolCalls.insert(
                this->result.toolCalls.end(), delta["tool_calls"].begin(), delta["tool_calls"].end());
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        this->result.finishReason = choice["finish_reason"].get<std::string>();
}

void Generation::operator()(const http::ResponseEnd&)
{
    if (this->status == 200 && this->doneReceived)
        this->finish(this->result);
    else if (this->status == 200)
        this->finish(EngineFailed { http::FailureKind::Interrupted, 200, "stream ended without [DONE]" });
    else
        this->finish(EngineFailed { http::FailureKind::NoAnswer, this->status, this->errorBody });
}

void Generation::operator()(const http::ResponseFailure& failure)
{
    if (this->doneReceived)
        this->finish(this->result);
    else
        this->finish(EngineFailed { failure.kind, 0, failure.message });
}

void Generation::finish(const EngineEvent& event)
{
    if (this->finished)
        return;
    this->finished = true;
    this->handler(event);
}

} // namespace lagoontiller::engines::impl
