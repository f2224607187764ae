// Decodes the input as a caller's request, an endpoint's response, a platform table row and an event stream.

#include "gateway/EventStreamParser.h"
#include "platform/CallerMessages.h"
#include "platform/EndpointMessages.h"
#include "platform/EntryMessages.h"
#include "platform/Records.h"
#include "transport/Parser.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace lagoontiller;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    transport::Parser request(transport::Parser::Kind::Request, { 4'096, 4'096 });
    (void)request.feed(bytes);
    if (request.state() == transport::ParserState::Complete) {
        auto read = request.takeRequest();
        (void)platform::decodeEntryQuery(read);
        if (const auto call = platform::decodeCall(std::move(read)))
            (void)platform::encodeRequest(*call, { "i", std::chrono::seconds(1), 1, call->lastEvent, call->body });
    }
    transport::Parser response(transport::Parser::Kind::Response, { 4'096, 4'096 });
    (void)response.feed(bytes);
    response.finish();
    if (response.headComplete())
        (void)platform::decodeResponse(
            { response.status(), response.fields(), response.framing(), response.keepAlive() });
    (void)platform::decodeConfiguration(bytes);
    (void)platform::decodeEndpoint("i", bytes);
    gateway::EventStreamParser events;
    (void)events.feed(bytes);
    return 0;
}
