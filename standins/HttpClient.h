#pragma once

#include "core/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoontiller::standins {

struct ClientRequest {
    std::string method = "GET";
    /// \brief `IP:port`.
    std::string address;
    /// \brief Path with query, encoded.
    std::string target;
    std::vector<std::string> headers;
    std::string body;
    /// \brief Maximum time without received data.
    std::chrono::seconds silenceLimit { 15 };
    std::chrono::seconds totalLimit { 60 };
};

struct ClientResponse {
    /// \brief The whole answer arrived; otherwise `error` says why the connection was lost.
    bool complete = false;
    std::string error;
    /// \brief 0 when the connection was lost before the status line.
    int status = 0;
    /// \brief Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// \brief Blocking HTTP client. Not thread-safe.
///
/// A request other than GET uses a new connection, so that it is sent at most once.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    [[nodiscard]] ClientResponse send(const ClientRequest& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// \brief Percent-encodes everything but unreserved characters.
[[nodiscard]] std::string encodePathPart(const std::string& text);

} // namespace lagoontiller::standins
