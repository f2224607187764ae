#include "control/AnswerStream.h"

namespace lagoontiller::control {

AnswerStream::AnswerStream(AnswerMetadata answerMetadata)
    : metadata(std::move(answerMetadata))
    , head { this->metadata.requestId, this->metadata.model, this->metadata.createdUnixSeconds }
{
}

http::Headers AnswerStream::headers() const
{
    return { { "X-Program-Id", this->metadata.program }, { "X-Turn", std::to_string(this->metadata.turn) },
        { "X-Request-Id", this->metadata.requestId } };
}

void AnswerStream::beginStream(Subscriber& subscriber) const
{
    if (subscriber.response->hasBegun())
        return;
    auto headers = this->headers();
    headers.push_back({ "Content-Type", "text/event-stream" });
    headers.push_back({ "Cache-Control", "no-cache" });
    subscriber.response->begin(200, headers);
}

void AnswerStream::sendText(Subscriber& subscriber, const std::string& text) const
{
    if (!subscriber.stream || subscriber.response->isDisconnected())
        return;
    this->beginStream(subscriber);
    subscriber.response->data(callers::textChunk(this->head, text));
}

void AnswerStream::subscribe(CallId call, callers::ResponseStreamPointer response, bool stream)
{
    const std::lock_guard lock(this->mutex);
    auto& subscriber
        = this->subscribers.insert_or_assign(call, Subscriber { std::move(response), stream }).first->second;
    if (!this->generatedText.empty())
        this->sendText(subscriber, this->generatedText);
    if (!this->finishEvent.empty() && stream) {
        this->beginStream(subscriber);
        subscriber.response->data(this->finishEvent);
    }
}

void AnswerStream::addText(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    this->generatedText += text;
    for (auto& [call, subscriber] : this->subscribers)
        this->sendText(subscriber, text);
}

std::string AnswerStream::text() const
{
    const std::lock_guard lock(this->mutex);
    return this->generatedText;
}

void AnswerStream::finish(const std::string& finishChunk)
{
    const std::lock_guard lock(this->mutex);
    this->finishEvent = finishChunk;
    for (auto& [call, subscriber] : this->subscribers) {
        if (!subscriber.stream)
            continue;
        this->beginStream(subscriber);
        subscriber.response->data(finishChunk);
    }
}

void AnswerStream::close(CallId call, const std::string& commitState, const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->subscribers.find(call);
    if (found == this->subscribers.end())
        return;
    auto& subscriber = found->second;
    if (subscriber.stream) {
        subscriber.response->data(callers::commitEvents(this->metadata.program, this->metadata.turn, commitState));
        subscriber.response->end(true);
    } else {
        auto headers = this->headers();
        headers.push_back({ "Content-Type", "application/json" });
        headers.push_back({ "X-Commit-State", commitState });
        subscriber.response->respond(200, headers, body);
    }
    this->subscribers.erase(found);
}

void AnswerStream::refuse(CallId call, const core::Error& error, std::uint64_t retryAfterMs)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->subscribers.find(call);
    if (found == this->subscribers.end())
        return;
    auto& response = *found->second.response;
    const auto body = callers::errorBody(error, retryAfterMs);
    if (response.hasBegun()) {
        // Without "data: [DONE]" the caller treats the stream as incomplete; the event carries the reason.
        response.data("event: error\ndata: " + body + "\n\n");
        response.end(false);
    } else {
        response.respond(core::httpStatus(error.code), callers::errorHeaders(error, retryAfterMs), body);
    }
    this->subscribers.erase(found);
}

} // namespace lagoontiller::control
