#pragma once

#include "engines/EngineClient.h"
#include "engines/impl/EventStream.h"

namespace lagoontiller::engines::impl {

/// \brief Turns the HTTP events of one generation into engine events.
class Generation {
public:
    explicit Generation(EngineClient::Handler handler);

    void operator()(const http::ResponseHead& head);
    void operator()(const http::ResponseData& data);
    void operator()(const http::ResponseEnd& end);
    void operator()(const http::ResponseFailure& failure);

private:
    void onPayload(std::string_view payload);
    void onEvent(std::string_view payload);
    void onChoice(const nlohmann::json& choice);
    void finish(const EngineEvent& event);

    EngineClient::Handler handler;
    EventStream events;
    EngineFinished result;
    std::string refusal;
    int status = 0;
    std::uint64_t malformedEvents = 0;
    bool done = false;
    bool complete = false;
};

} // namespace lagoontiller::engines::impl
