// A server that stops: clients that are connected get an answer, also those whose connection was not accepted yet.

#include "support/FakeRowStore.h"
#include "transport/Server.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// \brief A server that answers each request with 200, and blocking clients of it.
class ServerFixture {
public:
    ServerFixture()
        : server(this->context,
            { [this](transport::ConnectionId connection, transport::Request&&) {
                 this->server.respond(connection, transport::statusLine(200), "ok");
             },
                [](transport::ConnectionId) {} })
    {
        if (!this->server.listen("127.0.0.1", 0).empty())
            throw std::runtime_error("the server does not listen");
        this->port = this->server.port();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(this->clients);
        socket.connect({ asio::ip::address_v4::loopback(), this->port });
        return socket;
    }

    static std::string readAll(asio::ip::tcp::socket& socket)
    {
        std::string text;
        asio::error_code endOfStream;
        asio::read(socket, asio::dynamic_buffer(text), endOfStream);
        return endOfStream == asio::error::eof ? text : endOfStream.message();
    }

    void runFor(std::chrono::milliseconds time)
    {
        (void)runUntil(
            this->context, [] { return false; }, time);
    }

    asio::io_context context;
    asio::io_context clients;
    transport::Server server;
    std::uint16_t port = 0;
};

} // namespace

// Guards against a planned stop that resets requests which the machine had accepted but the process had not yet read.
TEST(TransportServer, AnswersConnectionsThatWereEstablishedBeforeTheStop)
{
    ServerFixture fixture;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int client = 0; client < 20; ++client) {
        sockets.push_back(fixture.connect());
        asio::write(sockets.back(), asio::buffer(request));
    }
    fixture.server.startDraining();
    fixture.server.stopAccepting();
    fixture.runFor(std::chrono::milliseconds(200));
    for (auto& socket : sockets)
        EXPECT_NE(ServerFixture::readAll(socket).find("200 OK"), std::string::npos);
    asio::ip::tcp::socket late(fixture.clients);
    asio::error_code refused;
    late.connect({ asio::ip::address_v4::loopback(), fixture.port }, refused);
    EXPECT_EQ(refused, asio::error::connection_refused);
}

// Guards against closing connections whose request or answer is on its way, and against idle ones that delay the stop.
TEST(TransportServer, ClosesOnlyIdleConnections)
{
    ServerFixture fixture;
    auto idle = fixture.connect();
    auto partial = fixture.connect();
    asio::write(partial, asio::buffer(request.substr(0, 8)));
    fixture.runFor(std::chrono::milliseconds(100));
    fixture.server.startDraining();
    fixture.server.stopAccepting();
    fixture.server.closeIdle();
    EXPECT_EQ(fixture.server.openConnections(), 1U);
    EXPECT_EQ(ServerFixture::readAll(idle), "");
    asio::write(partial, asio::buffer(request.substr(8)));
    fixture.runFor(std::chrono::milliseconds(100));
    EXPECT_NE(ServerFixture::readAll(partial).find("Connection: close"), std::string::npos);
    EXPECT_EQ(fixture.server.openConnections(), 0U);
}

} // namespace lagoontiller::tests
