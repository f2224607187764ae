#include "callers/HttpServer.h"

#include "callers/impl/ConnectionCounter.h"

#include <charconv>
#include <future>
#include <restinio/all.hpp>

namespace lagoontiller::callers {

namespace {

using impl::ConnectionCounter;
using CounterPointer = std::shared_ptr<ConnectionCounter>;

class CountingListener {
public:
    explicit CountingListener(CounterPointer counter)
        : counter(std::move(counter))
    {
    }

    // RESTinio requires this function name.
    void state_changed(const restinio::connection_state::notice_t& notice) // NOLINT(readability-identifier-naming)
    {
        const auto address = notice.remote_endpoint().address().to_string();
        if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
            this->counter->opened(address);
        else if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            this->counter->closed(address);
    }

private:
    CounterPointer counter;
};

class AddressLimiter {
public:
    explicit AddressLimiter(CounterPointer counter)
        : counter(std::move(counter))
    {
    }

    [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(
        const restinio::ip_blocker::incoming_info_t& info) noexcept
    {
        const auto allowed = this->counter->allows(info.remote_endpoint().address().to_string());
        return allowed ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

private:
    CounterPointer counter;
};

using RequestFunction = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t, RequestFunction> {
    using connection_state_listener_t = CountingListener;
    using ip_blocker_t = AddressLimiter;
    // RESTinio requires this name.
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

using Server = restinio::http_server_t<Traits>;
using ChunkedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

constexpr std::size_t maxUrlBytes = 8192;
constexpr std::size_t maxHeaderFieldBytes = 8192;
constexpr std::size_t maxHeaderFields = 100;
// No output is sent while a call is queued or an engine prefills a long prompt.
constexpr auto requestHandlingTimeout = std::chrono::minutes(15);
constexpr auto writeTimeout = std::chrono::seconds(30);

restinio::http_status_line_t statusLine(int status)
{
    static const std::map<int, std::string> reasons { { 200, "OK" }, { 303, "See Other" }, { 400, "Bad Request" },
        { 401, "Unauthorized" }, { 402, "Payment Required" }, { 403, "Forbidden" }, { 404, "Not Found" },
        { 408, "Request Timeout" }, { 409, "Conflict" }, { 410, "Gone" }, { 413, "Payload Too Large" },
        { 422, "Unprocessable Entity" }, { 429, "Too Many Requests" }, { 500, "Internal Server Error" },
        { 502, "Bad Gateway" }, { 503, "Service Unavailable" }, { 504, "Gateway Timeout" } };
    const auto found = reasons.find(status);
    const auto reason = found == reasons.end() ? std::string("Status") : found->second;
    return { restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reason };
}

/// \brief Closes the connection after the parts of the response that were already flushed, without the last chunk.
void cutOff(const restinio::impl::connection_handle_t& connection, restinio::request_id_t request)
{
    connection->write_response_parts(request,
        { restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close },
        restinio::write_group_t { restinio::writable_items_container_t {} });
}

ResponseStream::Target makeTarget(
    const restinio::request_handle_t& request, const std::shared_ptr<std::weak_ptr<ResponseStream>>& self)
{
    ResponseStream::Target target;
    auto chunked = std::make_shared<std::shared_ptr<ChunkedResponse>>();
    auto connection = std::make_shared<restinio::impl::connection_handle_t>();
    target.respond = [request](int status, const http::Headers& headers, std::string body) {
        auto response = request->create_response(statusLine(status));
        for (const auto& header : headers)
            response.append_header(header.name, header.value);
        response.set_body(std::move(body)).done();
    };
    target.begin = [request, chunked, connection](int status, const http::Headers& headers) {
        // The response builder moves the connection out of the request.
        *connection = restinio::impl::access_req_connection(*request);
        *chunked = std::make_shared<ChunkedResponse>(
            request->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const auto& header : headers)
            (*chunked)->append_header(header.name, header.value);
        (*chunked)->flush();
    };
    target.data = [chunked, self](std::string bytes) {
        (*chunked)->append_chunk(std::move(bytes));
        (*chunked)->flush([self](const auto& error) {
            if (!error)
                return;
            if (const auto stream = self->lock())
                stream->markDisconnected();
        });
    };
    target.end = [chunked, connection, id = request->request_id()](bool complete) {
        if (complete)
            (*chunked)->done();
        else
            cutOff(*connection, id);
        chunked->reset();
        connection->reset();
    };
    return target;
}

IncomingRequest toIncomingRequest(const restinio::request_handle_t& request)
{
    IncomingRequest incoming;
    incoming.method = request->header().method().c_str();
    incoming.target = request->header().request_target();
    request->header().for_each_field([&](const auto& field) {
        incoming.headers.push_back({ std::string(field.name()), std::string(field.value()) });
    });
    incoming.body = request->body();
    incoming.remoteAddress = request->remote_endpoint().address().to_string();
    return incoming;
}

} // namespace

std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto [parsedEnd, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || parsedEnd != end || port == 0)
        return std::nullopt;
    return std::pair(address.substr(0, colon), port);
}

class HttpServer::Implementation {
public:
    Implementation(HttpServerSettings settings, Handler handler)
        : settings(std::move(settings))
        , handler(std::move(handler))
        , workGuard(asio::make_work_guard(this->context))
    {
    }

    core::Expected<void> start()
    {
        const auto address = splitAddress(this->settings.address);
        if (!address)
            return core::failure(
                core::ResultCode::SettingsFault, "not an address of the form ip:port: " + this->settings.address);
        this->createServer(address->first, address->second);
        std::promise<std::string> bindResult;
        this->server->open_async([&bindResult] { bindResult.set_value({}); },
            [&bindResult](std::exception_ptr error) {
                try {
                    std::rethrow_exception(std::move(error));
                } catch (const std::exception& exception) {
                    bindResult.set_value(exception.what());
                }
            });
        for (int index = 0; index < this->settings.threads; ++index)
            this->threads.emplace_back([this] { this->context.run(); });
        const auto bindError = bindResult.get_future().get();
        if (!bindError.empty())
            return core::failure(core::ResultCode::SettingsFault, this->settings.address + ": " + bindError);
        return {};
    }

    void stop()
    {
        if (this->threads.empty())
            return;
        this->context.stop();
        for (auto& thread : this->threads)
            thread.join();
        this->threads.clear();
        this->server.reset();
    }

private:
    void createServer(const std::string& ip, std::uint16_t port)
    {
        const auto counter = std::make_shared<ConnectionCounter>(this->settings.maxConnectionsPerAddress);
        restinio::server_settings_t<Traits> options;
        options.address(ip)
            .port(port)
            .request_handler([this](const restinio::request_handle_t& request) { return this->handle(request); })
            .connection_state_listener(std::make_shared<CountingListener>(counter))
            .ip_blocker(std::make_shared<AddressLimiter>(counter))
            .max_parallel_connections(this->settings.maxConnections)
            .read_next_http_message_timelimit(this->settings.readTimeout)
            .write_http_response_timelimit(writeTimeout)
            .handle_request_timeout(requestHandlingTimeout)
            .buffer_size(16384)
            .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_options_setter(
                [](auto& options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maxUrlBytes)
                                          .max_field_name_size(maxHeaderFieldBytes)
                                          .max_field_value_size(maxHeaderFieldBytes)
                                          .max_field_count(maxHeaderFields)
                                          .max_body_size(this->settings.maxBodyBytes));
        this->server = std::make_unique<Server>(restinio::external_io_context(this->context), std::move(options));
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request)
    {
        auto self = std::make_shared<std::weak_ptr<ResponseStream>>();
        auto stream = std::make_shared<ResponseStream>(makeTarget(request, self));
        *self = stream;
        this->handler(toIncomingRequest(request), std::move(stream));
        return restinio::request_accepted();
    }

    HttpServerSettings settings;
    Handler handler;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    std::unique_ptr<Server> server;
    std::vector<std::thread> threads;
};

HttpServer::HttpServer(HttpServerSettings settings, Handler handler)
    : implementation(std::make_unique<Implementation>(std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

core::Expected<void> HttpServer::start()
{
    return this->implementation->start();
}

void HttpServer::stop()
{
    this->implementation->stop();
}

} // namespace lagoontiller::callers
