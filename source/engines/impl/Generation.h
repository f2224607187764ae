#pragma once

#include "engines/EngineClient.h"
#include "engines/impl/EventStreamParser.h"

namespace lagoontiller::engines::impl {

/// \brief Converts the HTTP events of one generation to engine events.
class Generation {
public:
    explicit Generation(EngineClient::Handler handler);

    void operator()(const http::ResponseHead& head);
    void operator()(const http::ResponseData& data);
    void operator()(const http::ResponseEnd& end);
    void operator()(const http::ResponseFailure& failure);

private:
    void handlePayload(std::string_view payload);
    void handleEvent(std::string_view payload);
    void handleChoice(const nlohmann::json& choice);
    void finish(const EngineEvent& event);

    EngineClient::Handler handler;
    EventStreamParser events;
    EngineFinished result;
    std::string errorBody;
    int status = 0;
    std::uint64_t malformedEvents = 0;
    bool finished = false;
    bool doneReceived = false;
};

} // namespace lagoontiller::engines::impl
