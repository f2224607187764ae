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

/// \brief Sends messages to other nodes and tracks which of them do not respond.
class PeerClient {
public:
    /// \brief Receives null if the peer did not respond; the peer may have processed the message nevertheless.
    using ResponseHandler = std::function<void(const wire::PeerResponse*)>;

    /// \brief Field of a message that its response repeats.
    static constexpr auto exchangeField = "Exchange-Id";

    explicit PeerClient(transport::ClientPool& pool)
        : pool(pool)
    {
    }

    /// \brief Sends the message; a peer that does not respond successfully is suspected for some time.
    void send(const std::string& peer, const wire::PeerRequest& request, ResponseHandler done);
    /// \brief Whether the peer recently did not respond.
    [[nodiscard]] bool isSuspected(const std::string& peer, core::TimePoint now) const;

private:
    transport::ClientPool& pool;
    std::uint64_t lastMessage = 0;
    std::unordered_map<std::string, core::TimePoint> suspectUntil;
};

} // namespace lagoontiller::gateway
