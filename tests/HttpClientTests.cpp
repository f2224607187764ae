#include "http/Client.h"
#include "objects/ObjectClient.h"
#include "services/ServiceClient.h"

#include <asio.hpp>
#include <condition_variable>
#include <future>

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

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::string url() const { return "http://" + this->address() + "/x"; }
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

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void close(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

ScriptedServer::Script sendAndClose(const std::string& bytes)
{
    return [bytes](auto& socket, int) {
        ScriptedServer::send(socket, bytes);
        close(socket);
    };
}

FailureCase sentAndClosed(const std::string& name, const std::string& bytes)
{
    return { name, sendAndClose(bytes), FailureKind::Interrupted };
}

std::vector<FailureCase> failureCases()
{
    return {
        { "ClosedBeforeAnswer", [](auto& socket, int) { close(socket); }, FailureKind::NoAnswer },
        sentAndClosed("ClosedInAnswer", head + "half"),
        { "ClosedInStatusLine", sendAndClose("HTTP/1.1 20"), FailureKind::NoAnswer },
        sentAndClosed("ClosedAfterStatusLine", "HTTP/1.1 200 OK\r\n"),
        sentAndClosed("ClosedInHeaders", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Le"),
        sentAndClosed("ClosedAfterInterimHead", "HTTP/1.1 100 Continue\r\n\r\n"),
        sentAndClosed("ClosedBeforeUnframedBody", "HTTP/1.1 200 OK\r\n\r\n"),
        sentAndClosed("ClosedInUnframedBody", "HTTP/1.1 200 OK\r\n\r\nhalf"),
        sentAndClosed("ClosedInUnframedIdentity", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhalf"),
        sentAndClosed("ClosedInOldUnframedBody", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nhalf"),
        sentAndClosed("ClosedInUnframedError", "HTTP/1.1 404 Not Found\r\n\r\n"),
        sentAndClosed("ClosedBeforeFirstChunk", chunkedHead),
        sentAndClosed("ClosedInChunk", chunkedHead + "8\r\nhalf"),
        sentAndClosed("ClosedBeforeLastChunk", chunkedHead + "4\r\nhalf\r\n"),
        sentAndClosed("ClosedInLastChunk", chunkedHead + "4\r\nhalf\r\n0\r\n"),
        { "SilentBeforeFirstByte", [](auto&, int) {}, FailureKind::FirstByteTimeout },
        { "SilentInAnswer", [](auto& socket, int) { ScriptedServer::send(socket, head + "half"); },
            FailureKind::SilenceTimeout },
    };
}

class HttpFailures : public testing::TestWithParam<FailureCase> { };

struct WholeAnswer {
    std::string name;
    std::string bytes;
    int status;
    std::string body;
};

class WholeAnswers : public testing::TestWithParam<WholeAnswer> { };
class CutObjectAnswers : public testing::TestWithParam<std::string> { };
class CutServiceAnswers : public testing::TestWithParam<std::string> { };

struct Surplus {
    std::string name;
    std::string status;
    /// \brief Whether the surplus comes with the end of the answer, or on the idle connection.
    bool atOnce;
    bool closes;
};

class SurplusBytes : public testing::TestWithParam<Surplus> { };

} // namespace

// Guards against a silent or broken connection that is not detected, against a wrong "not run", and against an answer
// that ends early and is taken for whole.
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

// Guards against a whole answer that is taken for cut off because it has no body or because its connection closes.
TEST_P(WholeAnswers, AreDelivered)
{
    ScriptedServer server(sendAndClose(GetParam().bytes));
    Client client;
    const auto result = fetch(client, requestTo(server.url()));
    ASSERT_TRUE(result.has_value()) << result.error().message;
    EXPECT_EQ(result->status, GetParam().status);
    EXPECT_EQ(result->body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(Table, WholeAnswers,
    testing::Values(WholeAnswer { "Length", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", 200, "body" },
        WholeAnswer { "LengthZero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "" },
        WholeAnswer { "OldWithLength", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body" },
        WholeAnswer { "Chunked", chunkedHead + "4\r\nbody\r\n0\r\n\r\n", 200, "body" },
        WholeAnswer { "ChunkedInCapitals",
            "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "body" },
        WholeAnswer { "ChunkedEmpty", chunkedHead + "0\r\n\r\n", 200, "" },
        WholeAnswer { "AfterInterimHead",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body" },
        WholeAnswer { "NoContent", "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
        WholeAnswer { "NotModified", "HTTP/1.1 304 Not Modified\r\n\r\n", 304, "" }),
    [](const auto& info) { return info.param.name; });

// Guards against an object that counts as stored, and one that is read short, because the store's answer ended early.
TEST_P(CutObjectAnswers, AreErrors)
{
    ScriptedServer server(sendAndClose(GetParam()));
    Client client;
    const objects::ObjectClient store(client, server.address());
    std::promise<core::Expected<void>> written;
    store.put("key", "bytes", [&](core::Expected<void> result) { written.set_value(std::move(result)); });
    const auto put = written.get_future().get();
    EXPECT_FALSE(put.has_value());
    EXPECT_EQ(put ? core::ResultCode() : put.error().code, core::ResultCode::StoreUnavailable);
    std::promise<core::Expected<std::optional<std::string>>> fetched;
    store.get("key", [&](auto result) { fetched.set_value(std::move(result)); });
    const auto get = fetched.get_future().get();
    ASSERT_FALSE(get.has_value()) << get->value_or("no object");
    EXPECT_EQ(get.error().code, core::ResultCode::StoreUnavailable);
}

INSTANTIATE_TEST_SUITE_P(Table, CutObjectAnswers,
    testing::Values("HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 404 Not Found\r\n\r\n"));

// Guards against a tool's answer that ended early and is recorded as the result of its call.
TEST_P(CutServiceAnswers, MayHaveRun)
{
    ScriptedServer server(sendAndClose(GetParam()));
    Client client;
    const services::ServiceClient tools(client);
    for (const bool repeatable : { false, true }) {
        services::ServiceRequest request;
        request.endpoint = server.address();
        request.path = "/x";
        request.repeatable = repeatable;
        std::promise<core::Expected<services::ServiceResponse>> answered;
        tools.call(request, [&](auto result) { answered.set_value(std::move(result)); });
        const auto answer = answered.get_future().get();
        ASSERT_FALSE(answer.has_value()) << answer->status << ' ' << answer->body;
        EXPECT_EQ(answer.error().code, core::ResultCode::EndpointFailed);
        EXPECT_EQ(answer.error().ran, core::RunState::MayHaveRun);
    }
    EXPECT_EQ(server.requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(Table, CutServiceAnswers,
    testing::Values("HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"done\":"));

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

// Guards against bytes after an answer that are taken for the answer to the next request on the connection, for example
// those of a server that answers 408 on an idle connection before it closes it.
TEST_P(SurplusBytes, AreNotTheNextAnswer)
{
    const auto answer = [](const std::string& status, const std::string& body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::promise<void> received;
    std::promise<void> surplusSent;
    ScriptedServer server([&](asio::ip::tcp::socket& socket, int request) {
        const auto surplus = answer(GetParam().status, "surplus");
        ScriptedServer::send(socket, answer("200 OK", "own") + (GetParam().atOnce && request == 1 ? surplus : ""));
        if (request > 1)
            return;
        received.get_future().wait();
        if (!GetParam().atOnce)
            ScriptedServer::send(socket, surplus);
        if (GetParam().closes)
            close(socket);
        surplusSent.set_value();
    });
    Client client;
    for (int request = 1; request <= 3; ++request) {
        const auto result = fetch(client, requestTo(server.url()));
        if (request == 1) {
            received.set_value();
            surplusSent.get_future().wait();
        }
        ASSERT_TRUE(result.has_value()) << result.error().message;
        EXPECT_EQ(result->status, 200);
        EXPECT_EQ(result->body, "own");
    }
    EXPECT_EQ(server.requests(), 3);
}

INSTANTIATE_TEST_SUITE_P(Table, SurplusBytes,
    testing::Values(Surplus { "WithTheAnswer", "200 OK", true, false },
        Surplus { "AfterTheAnswer", "200 OK", false, false },
        Surplus { "TimeoutOfAnIdleConnection", "408 Request Timeout", false, true }),
    [](const auto& info) { return info.param.name; });

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
