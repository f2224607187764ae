#pragma once

#include "http/Message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace lagoontiller::callers {

/// \brief The way back to a caller: one whole answer, or a streamed one. Thread-safe; calls after the end are ignored.
///
/// The target is a connection of this node's HTTP server or a stream to the node that the caller is connected to.
class ResponseStream {
public:
    /// \brief Functions of the target; each must be callable from any thread.
    struct Target {
        std::function<void(int status, const http::Headers&, std::string body)> respond;
        std::function<void(int status, const http::Headers&)> begin;
        std::function<void(std::string bytes)> data;
        /// \brief `complete` is false when the answer was cut off; the target then closes the connection.
        std::function<void(bool complete)> end;
    };

    explicit ResponseStream(Target target);

    void respond(int status, const http::Headers& headers, std::string body);
    void begin(int status, const http::Headers& headers);
    void data(std::string bytes);
    void end(bool complete);

    /// \brief True once the caller's connection is known to be gone.
    [[nodiscard]] bool isDisconnected() const noexcept { return this->callerDisconnected; }
    void markDisconnected() noexcept { this->callerDisconnected = true; }
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
