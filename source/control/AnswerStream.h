#pragma once

#include "callers/ChatCompletion.h"
#include "callers/ResponseStream.h"
#include "control/Effects.h"

#include <map>
#include <mutex>

namespace lagoontiller::control {

/// \brief Streams the answer of one model call to one or more subscribed callers. Thread-safe.
///
/// The HTTP client thread appends generated text, which is written to the callers' connections without passing through
/// the control thread; the control thread adds subscribers and ends the answer. All text is buffered, so that a late
/// subscriber receives it from the start and a resumed attempt continues where the previous one stopped.
class AnswerStream {
public:
    explicit AnswerStream(AnswerMetadata metadata);

    /// \brief Adds a caller, who receives the buffered text at once if `stream` is true, and the whole body at the end
    /// otherwise.
    void subscribe(CallId call, callers::ResponseStreamPointer response, bool stream);
    /// \brief Appends generated text and sends it to the streaming subscribers.
    void addText(const std::string& text);
    /// \brief All text generated so far, over all attempts of the call.
    [[nodiscard]] std::string text() const;

    /// \brief Sends the finish chunk to the streaming subscribers; generation has ended, the commit has not.
    void finish(const std::string& finishChunk);
    /// \brief Completes the answer of one caller with its commit state. `body` is sent to a caller that does not
    /// stream.
    void close(CallId call, const std::string& commitState, const std::string& body);
    /// \brief Sends an error to one caller: as an HTTP error response, or as an `error` event that ends a stream whose
    /// head has been sent.
    void refuse(CallId call, const core::Error& error, std::uint64_t retryAfterMs);

private:
    struct Subscriber {
        callers::ResponseStreamPointer response;
        bool stream = false;
    };

    void sendText(Subscriber& subscriber, const std::string& text) const;
    /// \brief Sends the head of the event stream unless it has been sent.
    void beginStream(Subscriber& subscriber) const;
    [[nodiscard]] http::Headers headers() const;

    const AnswerMetadata metadata;
    const callers::ChatCompletionMetadata head;
    mutable std::mutex mutex;
    std::string generatedText;
    std::string finishEvent;
    std::map<CallId, Subscriber> subscribers;
};

} // namespace lagoontiller::control
