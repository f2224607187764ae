#pragma once

#include "callers/ChatAnswer.h"
#include "callers/ResponseStream.h"
#include "control/Effects.h"

#include <map>
#include <mutex>

namespace lagoontiller::control {

/// \brief The answer of one model call on its way to one or more callers.
///
/// Text comes from the HTTP traffic thread and goes straight to the callers' connections; the control thread adds
/// callers and ends the answer. The text is kept, so that a caller who joins late gets all of it and a resumed attempt
/// continues where the last one stopped.
class AnswerStream {
public:
    explicit AnswerStream(AnswerMetadata metadata);

    void subscribe(CallId call, callers::ResponseStreamPointer response, bool stream);
    void addText(const std::string& text);
    [[nodiscard]] std::string text() const;

    void finish(const std::string& finishChunk);
    /// \brief Ends the answer of one caller with its commit state.
    void close(CallId call, const std::string& commitState, const std::string& body);
    /// \brief Refuses one caller: as a whole answer, or as an event when its stream has begun.
    void refuse(CallId call, const core::Error& error, std::uint64_t retryAfterMs);

private:
    struct Subscriber {
        callers::ResponseStreamPointer response;
        bool stream = false;
    };

    void sendText(Subscriber& subscriber, const std::string& text) const;
    void beginStream(Subscriber& subscriber) const;
    [[nodiscard]] http::Headers headers() const;

    const AnswerMetadata metadata;
    const callers::ChatHead head;
    mutable std::mutex mutex;
    std::string generatedText;
    std::string finishEvent;
    std::map<CallId, Subscriber> subscribers;
};

} // namespace lagoontiller::control
