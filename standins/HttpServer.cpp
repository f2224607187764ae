#include "standins/HttpServer.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <restinio/all.hpp>
#include <stdexcept>

namespace lagoontiller::standins {

namespace {

using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using Server = restinio::http_server_t<Traits>;
using Connection = restinio::impl::connection_t<Traits>;
using WholeAnswer = restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using ChunkedAnswer = restinio::response_builder_t<restinio::chunked_output_t>;

// Long enough that the server's own time limits never close streams with long pauses (silence, hang).
constexpr std::chrono::hours connectionLimit { 1 };

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::map<std::string, std::string> parseQuery(restinio::string_view_t text)
{
    std::map<std::string, std::string> result;
    const auto parsed = restinio::try_parse_query<restinio::parse_query_traits::javascript_compatible>(text);
    if (!parsed)
        return result;
    for (const auto& [name, value] : *parsed)
        result.emplace(std::string(name), std::string(value));
    return result;
}

HttpRequest convert(const restinio::request_t& source)
{
    HttpRequest request;
    request.method = std::string(source.header().method().c_str());
    request.path = std::string(source.header().path());
    auto decoded = restinio::utils::try_unescape_percent_encoding(source.header().path());
    if (decoded)
        request.path = *decoded;
    request.query = parseQuery(source.header().query());
    for (const auto& field : source.header())
        request.headers[lowerCase(field.name())] = field.value();
    request.body = source.body();
    return request;
}

class Exchange final : public HttpExchange, public std::enable_shared_from_this<Exchange> {
public:
    explicit Exchange(restinio::request_handle_t handle)
        : handle(std::move(handle))
        , converted(convert(*this->handle))
        , connection(restinio::impl::access_req_connection(*this->handle))
    {
    }

    [[nodiscard]] const HttpRequest& request() const noexcept override { return this->converted; }

    void answer(
        int status, const std::string& body, const std::string& contentType, const HttpHeaders& headers) override
    {
        if (!this->active || this->silent || this->stream)
            return;
        this->active = false;
        auto builder = this->handle->create_response<restinio::restinio_controlled_output_t>(
            { restinio::http_status_code_t(status), status < 400 ? "OK" : "Refused" });
        builder.append_header("Content-Type", contentType);
        for (const auto& [name, value] : headers)
            builder.append_header(name, value);
        builder.set_body(body);
        builder.done();
        this->connection.reset();
    }

    void startStream(const std::string& contentType) override
    {
        if (!this->active || this->silent || this->stream)
            return;
        this->stream.emplace(this->handle->create_response<restinio::chunked_output_t>());
        this->stream->append_header("Content-Type", contentType);
        this->stream->append_header("Cache-Control", "no-cache");
        this->stream->flush();
    }

    void send(const std::string& chunk) override
    {
        if (!this->active || this->silent || !this->stream)
            return;
        this->stream->append_chunk(chunk);
        // A failed write is the only indication that the client has closed its connection.
        this->stream->flush([weak = this->weak_from_this()](const asio::error_code& error) {
            auto self = weak.lock();
            if (self && error)
                self->active = false;
        });
    }

    void finish() override
    {
        if (!this->active || this->silent || !this->stream)
            return;
        this->active = false;
        this->stream->done();
        this->connection.reset();
    }

    void abort() override
    {
        if (!this->active)
            return;
        this->active = false;
        // RESTinio closes a connection only after an answer. Taking over the socket, as a WebSocket upgrade does, is
        // the only way to close it without answering.
        if (auto* own = dynamic_cast<Connection*>(this->connection.get()); own != nullptr) {
            auto internals = own->move_upgrade_internals();
            asio::error_code ignored;
            internals.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
            internals.m_socket.close(ignored);
        }
        this->connection.reset();
    }

    void silence() override { this->silent = true; }
    [[nodiscard]] bool open() const noexcept override { return this->active; }

private:
    restinio::request_handle_t handle;
    HttpRequest converted;
    restinio::impl::connection_handle_t connection;
    std::optional<ChunkedAnswer> stream;
    bool active = true;
    bool silent = false;
};

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("address '" + address + "' is not IP:port");
    const int port = std::atoi(address.c_str() + colon + 1);
    if (port < 0 || port > 65535)
        throw std::runtime_error("address '" + address + "' has no valid port");
    return { address.substr(0, colon), static_cast<std::uint16_t>(port) };
}

} // namespace

std::string HttpRequest::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string HttpRequest::parameter(const std::string& name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
    Implementation(Loop& loop, const std::string& address, HttpHandler handler)
        : loop(loop)
        , address(splitAddress(address))
        , handler(std::move(handler))
    {
    }

    void open()
    {
        this->server
            = std::make_unique<Server>(restinio::external_io_context(this->loop.context()), [this](auto& settings) {
                  settings.address(this->address.first)
                      .port(this->address.second)
                      .read_next_http_message_timelimit(connectionLimit)
                      .handle_request_timeout(connectionLimit)
                      .write_http_response_timelimit(connectionLimit)
                      .buffer_size(16 * 1024)
                      // Engines send each token at once; with Nagle's algorithm it would wait for the delayed
                      // acknowledgement of the one before, about 40 ms.
                      .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
                      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
                          this->address.second = acceptor.local_endpoint().port();
                      })
                      .request_handler([weak = this->weak_from_this()](const restinio::request_handle_t& request) {
                          return accept(weak, request);
                      });
              });
        this->server->open_sync();
    }

    void close()
    {
        if (!this->server)
            return;
        this->server->close_sync();
        this->server.reset();
        for (const auto& exchange : this->unanswered())
            exchange->abort();
    }

    std::vector<ExchangePointer> unanswered()
    {
        std::vector<ExchangePointer> result;
        std::vector<std::weak_ptr<HttpExchange>> kept;
        for (const auto& weak : this->exchanges) {
            auto exchange = weak.lock();
            if (!exchange || !exchange->open())
                continue;
            kept.push_back(weak);
            result.push_back(std::move(exchange));
        }
        this->exchanges = std::move(kept);
        return result;
    }

    [[nodiscard]] bool listening() const noexcept { return this->server != nullptr; }
    [[nodiscard]] std::uint16_t port() const noexcept { return this->address.second; }

private:
    static restinio::request_handling_status_t accept(
        const std::weak_ptr<Implementation>& weak, const restinio::request_handle_t& request)
    {
        const auto self = weak.lock();
        if (!self)
            return restinio::request_rejected();
        auto exchange = std::make_shared<Exchange>(request);
        // A connection that was idle when the server closed remains readable; its next request resets it.
        if (!self->server) {
            exchange->abort();
            return restinio::request_accepted();
        }
        if (self->exchanges.size() >= self->pruneAt) {
            (void)self->unanswered();
            self->pruneAt = 2 * self->exchanges.size() + 64;
        }
        self->exchanges.push_back(exchange);
        self->handler(exchange);
        return restinio::request_accepted();
    }

    Loop& loop;
    std::pair<std::string, std::uint16_t> address;
    HttpHandler handler;
    std::unique_ptr<Server> server;
    std::vector<std::weak_ptr<HttpExchange>> exchanges;
    std::size_t pruneAt = 64;
};

HttpServer::HttpServer(Loop& loop, const std::string& address, HttpHandler handler)
    : implementation(std::make_shared<Implementation>(loop, address, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->implementation->close();
}

void HttpServer::open()
{
    this->implementation->open();
}

void HttpServer::close()
{
    this->implementation->close();
}

bool HttpServer::listening() const noexcept
{
    return this->implementation->listening();
}

std::uint16_t HttpServer::port() const noexcept
{
    return this->implementation->port();
}

std::vector<ExchangePointer> HttpServer::unanswered()
{
    return this->implementation->unanswered();
}

} // namespace lagoontiller::standins
