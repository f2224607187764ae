#pragma once

#include "gateway/RowExpiry.h"
#include "policy/PoisonDetector.h"
#include "transport/ClientPool.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace lagoontiller::gateway {

/// \brief An endpoint whose connection broke while it ran a call.
struct SuspectedLoss {
    std::string endpoint;
    std::string address;
    std::string healthPath;
    /// \brief Digest of the call.
    std::string digest;
};

/// \brief Finds the requests that crash their endpoints, together with the other nodes.
///
/// A connection that breaks may be the answer's fault; the endpoint counts as lost only if it refuses a new connection
/// a moment later. Confirmed losses become rows that every node reads into its ledger.
class EndpointLossTracker {
public:
    EndpointLossTracker(asio::io_context& context, transport::ClientPool& pool, RowStore& store,
        StoreHealth& storeHealth, RowExpiry& rowExpiry);

    void suspect(const SuspectedLoss& loss);
    /// \brief A row of the table of losses was written by any node.
    void rowChanged(const Row& row, core::TimePoint now);
    /// \brief The call ran to its end.
    void callSucceeded(const std::string& digest, core::TimePoint now);
    [[nodiscard]] bool isIsolated(const std::string& digest, core::TimePoint now) const;
    void tick(core::TimePoint now);

    static constexpr std::string_view table = "losses";

private:
    void verify(const std::string& endpoint);
    void confirm(const std::string& endpoint);

    struct Suspected {
        SuspectedLoss first;
        std::vector<std::string> digests;
    };

    asio::io_context& context;
    transport::ClientPool& pool;
    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    policy::PoisonDetector ledger;
    std::map<std::string, Suspected> suspected;
};

} // namespace lagoontiller::gateway
