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

/// \brief Compares header names without regard to case.
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

/// \brief Value of the first header with this name, compared without case; empty when there is none.
[[nodiscard]] std::string_view headerValue(const Headers& headers, std::string_view name) noexcept;

/// \brief An outgoing request with its time limits. A limit of zero means none.
struct Request {
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    core::Duration connectTimeout = std::chrono::seconds(2);
    /// \brief Longest wait for the first byte of the answer, from the moment the request is handed over.
    core::Duration firstByteTimeout = std::chrono::seconds(10);
    /// \brief Longest silence between two parts of the answer.
    core::Duration silenceTimeout = std::chrono::seconds(10);
    core::Duration totalTimeout = core::Duration::zero();
    /// \brief Uses a connection of its own. libcurl silently sends a request again when a reused connection turns out
    /// to be closed, so requests that may not be repeated must set this.
    bool freshConnection = false;
};

/// \brief How far a failed request got.
enum class FailureKind : int {
    /// No connection: not a byte of the request has left.
    NotConnected,
    /// The request may have left and no byte of an answer came.
    NoAnswer,
    /// The answer began and broke off.
    Interrupted,
    /// No first byte in time.
    FirstByteTimeout,
    /// The answer began and went silent.
    SilenceTimeout,
    Cancelled,
};

[[nodiscard]] std::string_view name(FailureKind kind) noexcept;

struct ResponseHead {
    int status = 0;
    Headers headers;
};

struct ResponseData {
    std::string_view bytes;
};

struct ResponseEnd { };

struct ResponseFailure {
    FailureKind kind = FailureKind::NotConnected;
    std::string message;
};

/// \brief Order of events: head, any number of data, then end; or a failure at any point, which is then the last one.
using ResponseEvent = std::variant<ResponseHead, ResponseData, ResponseEnd, ResponseFailure>;

/// \brief A whole answer, for requests that need no streaming.
struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

} // namespace lagoontiller::http
