#pragma once

#include "core/Time.h"
#include "transport/ClientPool.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace lagoontiller::gateway::wire {
class PeerRequest;
class PeerResponse;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief Sends messages to other nodes and leaves out, for a while, those that do not answer.
class PeerClient {
public:
    /// \brief Gets null when the peer did not answer; it may have acted on the message then.
    using ResponseHandler = std::function<void(const wire::PeerResponse*)>;

    explicit PeerClient(transport::ClientPool& pool)
        : pool(pool)
    {
    }

    void send(const std::string& peer, const wire::PeerRequest& request, ResponseHandler done);
    /// \brief Whether the peer did not answer a moment ago.
    [[nodiscard]] bool isSuspected(const std::string& peer, core::TimePoint now) const;

private:
    transport::ClientPool& pool;
    std::unordered_map<std::string, core::TimePoint> suspectUntil;
};

} // namespace lagoontiller::gateway
