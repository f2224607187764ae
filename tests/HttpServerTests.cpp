#include "callers/HttpServer.h"
#include "support/TableServer.h"

#include <asio.hpp>

namespace lagoontiller::callers {

namespace {

struct StreamedAnswer {
    std::string name;
    std::vector<std::string> parts;
    bool complete;
};

const std::string lastChunk = "0\r\n\r\n";

/// \brief Sends a request on a connection that may be kept, and reads until the last chunk or the end of the
/// connection.
std::string readAnswer(const std::string& address)
{
    const auto target = splitAddress(address);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(target->first), target->second });
    asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::string received;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
    EXPECT_FALSE(error) << received;
    if (!received.ends_with("\r\n" + lastChunk))
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n" + lastChunk, error);
    return received;
}

class StreamedAnswers : public testing::TestWithParam<StreamedAnswer> { };

} // namespace

// Guards against an answer that was cut off and reaches the caller framed as whole, with its last chunk.
TEST_P(StreamedAnswers, HaveTheirLastChunkOnlyWhenComplete)
{
    const auto address = tests::freeAddress();
    HttpServer server({ .address = address, .threads = 1 }, [](const auto&, const ResponseStreamPointer& response) {
        response->begin(200, { { "Content-Type", "application/json" } });
        for (const auto& part : GetParam().parts)
            response->data(part);
        response->end(GetParam().complete);
    });
    ASSERT_TRUE(server.start());
    const auto received = readAnswer(address);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 OK\r\n")) << received;
    for (const auto& part : GetParam().parts)
        EXPECT_NE(received.find("\r\n" + part + "\r\n"), std::string::npos) << received;
    EXPECT_EQ(received.ends_with("\r\n" + lastChunk), GetParam().complete) << received;
}

INSTANTIATE_TEST_SUITE_P(Table, StreamedAnswers,
    testing::Values(StreamedAnswer { "Complete", { "one", "two" }, true },
        StreamedAnswer { "CompleteWithoutBody", {}, true }, StreamedAnswer { "CutAfterHead", {}, false },
        StreamedAnswer { "CutAfterData", { "one", "two" }, false }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::callers
