#include "http/Client.h"

#include <asio.hpp>
#include <condition_variable>

namespace lagoontiller::http {

namespace {

using std::chrono::milliseconds;

/// \brief Accepts connections and hands each to a function on a thread of its own. Counts the requests received.
class ScriptedServer {
public:
    using Script = std::function<void(asio::ip::tcp::socket&, int request)>;

    explicit ScriptedServer(Script script)
        : script(std::move(script))
        , acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 })
        , acceptThread([this] { this->accept(); })
    {
    }

    ~ScriptedServer()
    {
        this->stopping = true;
        asio::error_code ignored;
        asio::ip::tcp::socket waker(this->context);
        waker.connect(this->acceptor.local_endpoint(), ignored);
        this->acceptThread.join();
        for (auto& socket : this->sockets)
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        for (auto& thread : this->threads)
            thread.join();
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/x";
    }
    [[nodiscard]] int requests() const { return this->received; }

    /// \brief Reads one request head and body; false at the end of the connection.
    static bool readRequest(asio::ip::tcp::socket& socket)
    {
        asio::error_code error;
        asio::streambuf buffer;
        asio::read_until(socket, buffer, "\r\n\r\n", error);
        return !error;
    }
    static void send(asio::ip::tcp::socket& socket, const std::string& text)
    {
        asio::error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
    }

private:
    void accept()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(this->context);
            asio::error_code error;
            this->acceptor.accept(*socket, error);
            if (error || this->stopping)
                return;
            this->sockets.push_back(socket);
            this->threads.emplace_back([this, socket] {
                while (readRequest(*socket))
                    this->script(*socket, ++this->received);
            });
        }
    }

    Script script;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping { false };
    std::atomic<int> received { 0 };
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    std::vector<std::thread> threads;
    std::thread acceptThread;
};

/// \brief Waits for the final result of one request; the wait itself is bounded only by the test's time limit.
tl::expected<Response, ResponseFailure> fetch(Client& client, Request request)
{
    std::mutex mutex;
    std::condition_variable done;
    std::optional<tl::expected<Response, ResponseFailure>> result;
    client.fetch(std::move(request), [&](tl::expected<Response, ResponseFailure> answer) {
        const std::lock_guard lock(mutex);
        result = std::move(answer);
        done.notify_one();
    });
    std::unique_lock lock(mutex);
    done.wait(lock, [&] { return result.has_value(); });
    return *result;
}

Request requestTo(const std::string& url)
{
    Request request;
    request.method = "POST";
    request.url = url;
    request.firstByteTimeout = milliseconds(300);
    request.silenceTimeout = milliseconds(300);
    return request;
}

struct FailureCase {
    std::string name;
    ScriptedServer::Script script;
    FailureKind expected;
};

const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

std::vector<FailureCase> failureCases()
{
    const auto close = [](asio::ip::tcp::socket& socket) {
        asio::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    };
    return {
        { "ClosedBeforeAnswer", [close](auto& socket, int) { close(socket); }, FailureKind::NoAnswer },
        { "ClosedInAnswer",
            [close](auto& socket, int) {
                ScriptedServer::send(socket, head + "half");
                close(socket);
            },
            FailureKind::Interrupted },
        { "SilentBeforeFirstByte", [](auto&, int) {}, FailureKind::FirstByteTimeout },
        { "SilentInAnswer", [](auto& socket, int) { ScriptedServer::send(socket, head + "half"); },
            FailureKind::SilenceTimeout },
    };
}

class HttpFailures : public testing::TestWithParam<FailureCase> { };

} // namespace

// Guards against a silent or broken connection that is not detected, and against a wrong "not run".
TEST_P(HttpFailures, AreDistinguished)
{
    ScriptedServer server(GetParam().script);
    Client client;
    const auto result = fetch(client, requestTo(server.url()));
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(name(result.error().kind), name(GetParam().expected)) << result.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Table, HttpFailures, testing::ValuesIn(failureCases()), [](const auto& info) { return info.param.name; });

// Guards against a refusal that says "may have run" although nothing was sent, which would block a retry.
TEST(HttpClient, RefusedConnectionIsNotConnected)
{
    std::string url;
    {
        ScriptedServer server([](auto&, int) {});
        url = server.url();
    }
    Client client;
    const auto result = fetch(client, requestTo(url));
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().kind, FailureKind::NotConnected);
}

// Guards against a second run of a call that may not be repeated: libcurl sends a request again by itself when a reused
// connection closes without an answer.
TEST(HttpClient, FreshConnectionIsNeverSentTwice)
{
    ScriptedServer server([](asio::ip::tcp::socket& socket, int request) {
        if (request == 1) {
            ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        asio::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    });
    Client client;
    ASSERT_TRUE(fetch(client, requestTo(server.url())).has_value());
    auto once = requestTo(server.url());
    once.freshConnection = true;
    const auto result = fetch(client, once);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().kind, FailureKind::NoAnswer);
    EXPECT_EQ(server.requests(), 2);
}

// Guards against a handler that does not get its final event when the client stops.
TEST(HttpClient, EveryRequestEndsWhenTheClientStops)
{
    ScriptedServer server([](auto&, int) {});
    std::atomic<int> ended { 0 };
    {
        Client client;
        for (int index = 0; index < 20; ++index) {
            auto request = requestTo(server.url());
            request.firstByteTimeout = std::chrono::seconds(60);
            client.start(std::move(request), [&](const ResponseEvent& event) {
                if (std::holds_alternative<ResponseFailure>(event))
                    ++ended;
            });
        }
    }
    EXPECT_EQ(ended, 20);
}

} // namespace lagoontiller::http
