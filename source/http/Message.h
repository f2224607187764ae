#pragma once

#include "core/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lagoontiller::http {

struct Header {
    std::string name;
    std::string value;
    [[nodiscard]] bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// \brief Whether two header names are equal, ignoring case.
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

/// \brief Value of the first header with this name, ignoring case; empty if there is none.
[[nodiscard]] std::string_view headerValue(const Headers& headers, std::string_view name) noexcept;

/// \brief An outgoing request with its timeouts. Zero disables a timeout, except `connectTimeout`.
struct Request {
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    /// \brief Zero selects the default of libcurl.
    core::Duration connectTimeout = std::chrono::seconds(2);
    /// \brief Maximum time from the start of the transfer to the first byte of the response.
    core::Duration firstByteTimeout = std::chrono::seconds(10);
    /// \brief Idle timeout: maximum time between two received parts of the response.
    core::Duration silenceTimeout = std::chrono::seconds(10);
    /// \brief Maximum duration of the transfer.
    core::Duration totalTimeout = core::Duration::zero();
    /// \brief Uses a new connection and closes it after the response. libcurl resends a request without notice if a
    /// reused connection turns out to be closed, so requests that must not be repeated set this.
    bool freshConnection = false;
};

/// \brief Why a request failed, and how far it got.
enum class FailureKind : int {
    /// No connection was established; no byte of the request was sent.
    NotConnected,
    /// The request may have been sent; no line of a response was received.
    NoAnswer,
    /// The response started and was not completed, or has neither a length nor chunks, so that its end is unknown.
    Interrupted,
    /// The response did not start within `firstByteTimeout` or `totalTimeout`.
    FirstByteTimeout,
    /// The response started and then exceeded `silenceTimeout` or `totalTimeout`.
    SilenceTimeout,
    Cancelled,
};

/// \brief Name of the failure kind in logs and error messages.
[[nodiscard]] std::string_view name(FailureKind kind) noexcept;

struct ResponseHead {
    int status = 0;
    Headers headers;
};

/// \brief A part of the body, valid only while the handler runs.
struct ResponseData {
    std::string_view bytes;
};

struct ResponseEnd { };

struct ResponseFailure {
    FailureKind kind = FailureKind::NotConnected;
    std::string message;
};

/// \brief Events of a response in their order: one ResponseHead, any number of ResponseData, ResponseEnd. A
/// ResponseFailure can replace any of them and is then the last event.
using ResponseEvent = std::variant<ResponseHead, ResponseData, ResponseEnd, ResponseFailure>;

/// \brief A complete response, for requests that need no streaming.
struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

} // namespace lagoontiller::http
