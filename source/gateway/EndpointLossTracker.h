#pragma once

#include "gateway/RowExpiry.h"
#include "policy/PoisonDetector.h"
#include "transport/ClientPool.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace lagoontiller::gateway {

/// \brief An endpoint whose connection broke while it executed a call.
struct SuspectedLoss {
    std::string endpoint;
    std::string address;
    std::string healthPath;
    /// \brief Digest of the request.
    std::string digest;
};

/// \brief Detects requests that crash endpoints and shares the evidence with the other nodes.
///
/// A broken connection alone may be caused by the response. An endpoint counts as lost only if it also refuses a new
/// connection shortly afterwards. Confirmed losses are written as rows that every node merges into its ledger.
class EndpointLossTracker {
public:
    EndpointLossTracker(asio::io_context& context, transport::ClientPool& pool, RowStore& store,
        StoreHealth& storeHealth, RowExpiry& rowExpiry);

    /// \brief Verifies a suspected loss after a short delay; losses of the same endpoint are verified together.
    void suspect(const SuspectedLoss& loss);
    /// \brief Merges a row of the losses table, written by any node, into the ledger.
    void rowChanged(const Row& row, core::TimePoint now);
    /// \brief Records that a call with this request digest completed.
    void callSucceeded(const std::string& digest, core::TimePoint now);
    /// \brief Whether requests with this digest are rejected because they crashed several endpoints.
    [[nodiscard]] bool isIsolated(const std::string& digest, core::TimePoint now) const;
    /// \brief Whether requests with this digest are rejected after one more loss.
    [[nodiscard]] bool isIsolatedByNextLoss(const std::string& digest, core::TimePoint now) const;
    void tick(core::TimePoint now);
    /// \brief Sets the function that states whether this node has recently not reached any endpoint, so that a refused
    /// connection does not confirm a loss.
    void setPathCheck(std::function<bool(core::TimePoint)> check) { this->pathsWereLost = std::move(check); }

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
    std::function<bool(core::TimePoint)> pathsWereLost;
    policy::PoisonDetector ledger;
    std::map<std::string, Suspected> suspected;
};

} // namespace lagoontiller::gateway
