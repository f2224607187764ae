#pragma once

#include "standins/Loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoontiller::standins {

/// \brief Header fields; names of received fields are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method;
    /// \brief Decoded path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;

    /// \brief Value of a header given in lower case; empty when absent.
    [[nodiscard]] std::string header(const std::string& name) const;
    /// \brief Value of a query parameter; empty when absent.
    [[nodiscard]] std::string parameter(const std::string& name) const;
};

/// \brief One request and its answer. The answer may be sent at any later time, on the loop of the server.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;
    /// \brief Sends a whole answer.
    virtual void answer(int status, const std::string& body, const std::string& contentType = "application/json",
        const HttpHeaders& headers = {})
        = 0;
    /// \brief Starts a chunked answer.
    virtual void startStream(const std::string& contentType) = 0;
    virtual void send(const std::string& chunk) = 0;
    virtual void finish() = 0;
    /// \brief Resets the connection without sending further data.
    virtual void abort() = 0;
    /// \brief Discards all further output; the connection stays open.
    virtual void silence() = 0;
    /// \brief False after the answer, after abort() and once a write to the client has failed.
    [[nodiscard]] virtual bool open() const noexcept = 0;
};

using ExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const ExchangePointer&)>;

/// \brief HTTP/1.1 server on one loop.
class HttpServer {
public:
    /// \brief `address` has the form `IP:port`. Throws std::runtime_error when it cannot be parsed.
    HttpServer(Loop& loop, const std::string& address, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \brief Starts to listen. Throws when the address cannot be bound.
    void open();
    /// \brief Stops listening and resets every connection with an unanswered request.
    void close();
    [[nodiscard]] bool listening() const noexcept;
    /// \brief Port of the server; with port 0, the port assigned by the system at the first open().
    [[nodiscard]] std::uint16_t port() const noexcept;
    /// \brief Requests without a complete answer.
    [[nodiscard]] std::vector<ExchangePointer> unanswered();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lagoontiller::standins
