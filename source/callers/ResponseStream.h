#pragma once

#include "http/Message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace lagoontiller::callers {

/// \brief Sends a complete or a streamed response to a caller. Thread-safe; calls after the end are ignored.
///
/// The target is a connection of this node's HTTP server or a stream to the node that the caller is connected to.
class ResponseStream {
public:
    /// \brief Functions that write to the target; each must be callable from any thread.
    struct Target {
        std::function<void(int status, const http::Headers&, std::string body)> respond;
        std::function<void(int status, const http::Headers&)> begin;
        std::function<void(std::string bytes)> data;
        /// \brief `complete` is false if the response was cut off; the target must not end it like a complete one.
        std::function<void(bool complete)> end;
    };

    explicit ResponseStream(Target target);

    /// \brief Sends a complete response; ignored if a streamed response has begun.
    void respond(int status, const http::Headers& headers, std::string body);
    /// \brief Begins a streamed response.
    void begin(int status, const http::Headers& headers);
    /// \brief Sends a part of the body of a streamed response; ignored if none has begun.
    void data(std::string bytes);
    /// \brief Ends a streamed response; ignored if none has begun.
    void end(bool complete);

    /// \brief True once the caller is known to have disconnected.
    [[nodiscard]] bool isDisconnected() const noexcept { return this->callerDisconnected; }
    void markDisconnected() noexcept { this->callerDisconnected = true; }
    /// \brief True once a streamed response has begun.
    [[nodiscard]] bool hasBegun() const noexcept { return this->streaming; }

private:
    std::mutex mutex;
    Target target;
    std::atomic<bool> streaming { false };
    std::atomic<bool> callerDisconnected { false };
    bool ended = false;
};

using ResponseStreamPointer = std::shared_ptr<ResponseStream>;

} // namespace lagoontiller::callers
