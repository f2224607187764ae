#pragma once

#include "core/Metrics.h"
#include "gateway/EndpointDirectory.h"
#include "gateway/EndpointPaths.h"
#include "gateway/RelayedExchanges.h"
#include "policy/Types.h"

namespace lagoontiller::gateway {

/// \brief Objects that the exchanges with endpoints use; all of them must outlive them.
struct EndpointExchangesDependencies {
    asio::io_context& context;
    transport::ClientPool& direct;
    RelayedExchanges& relayed;
    EndpointDirectory& endpointDirectory;
    core::MetricRegistry& metrics;
};

/// \brief Exchanges of requests and responses with endpoints: on connections of this node while it reaches them,
/// through peers while it does not.
///
/// A node without peers does not check its paths. Exchanges that begin while a check of the paths is in progress wait
/// for its result, at most `EndpointPaths::probeTimeout`.
class EndpointExchanges {
public:
    EndpointExchanges(EndpointExchangesDependencies dependencies, std::string zone, std::uint64_t seed);

    /// \brief As `ClientPool::send`; ends with `NoPath` if no node reaches the endpoint.
    transport::ExchangeId send(EndpointExchange exchange, transport::ExchangeEvents events);
    /// \brief As the functions of `ClientPool` with these names.
    void cancel(transport::ExchangeId exchange);
    void pause(transport::ExchangeId exchange);
    void resume(transport::ExchangeId exchange);
    /// \brief All 0 for an exchange that waits or is relayed.
    [[nodiscard]] transport::ConnectionUse connectionOf(transport::ExchangeId exchange) const;
    [[nodiscard]] transport::OtherConnections otherConnections(const std::string& address, core::TimePoint since) const;
    /// \brief Whether no byte of the request has been sent to the endpoint or to a peer.
    [[nodiscard]] bool isUnsent(transport::ExchangeId exchange) const;
    /// \brief Whether a peer carries the exchange.
    [[nodiscard]] bool isRelayed(transport::ExchangeId exchange) const;
    /// \brief While `ended` is called with `Closed` for a relayed exchange: what the peer knows of that end.
    [[nodiscard]] std::optional<ClosedExchange> closedExchange(transport::ExchangeId exchange) const;

    /// \brief Records that a direct connection to the endpoint broke or was not established. The endpoint counts as
    /// failed once a check has shown that the path is not the cause.
    void connectionFailed(const std::string& endpoint, policy::FailureKind kind, core::TimePoint now);
    [[nodiscard]] const EndpointPaths& paths() const noexcept { return this->endpointPaths; }
    /// \brief Calls `done`, possibly at once, with whether this node reaches endpoints: known from bytes that have just
    /// arrived, or found out by a check.
    void provePaths(core::TimePoint now, std::function<void(bool)> done);
    /// \brief Sets the function that is called when the paths to endpoints are lost.
    void setPathsLostHandler(std::function<void(core::TimePoint)> handler) { this->pathsLost = std::move(handler); }
    /// \brief Checks the paths if necessary; call every `tickInterval`.
    void tick(core::TimePoint now);

private:
    enum class Way : int {
        Waiting,
        Direct,
        Relayed,
    };
    struct Exchange {
        Way way = Way::Waiting;
        /// \brief Id at the pool or at the relayed exchanges.
        transport::ExchangeId id = 0;
        EndpointExchange content;
        transport::ExchangeEvents events;
        bool paused = false;
    };

    void start(transport::ExchangeId id);
    void ended(transport::ExchangeId id, transport::ExchangeEnd end);
    void checkPaths(core::TimePoint now);
    /// \brief Addresses to connect to: one in this zone if there is any, the others anywhere.
    [[nodiscard]] std::vector<std::string> chooseProbes(std::size_t count);
    void probeEnded(bool accepted);
    /// \brief Handles the result of a check of the paths.
    void checkEnded(bool wereLost, core::TimePoint now);
    void startWaiting();

    EndpointExchangesDependencies dependencies;
    std::string zone;
    policy::Random random;
    EndpointPaths endpointPaths;
    std::function<void(core::TimePoint)> pathsLost;
    std::unordered_map<transport::ExchangeId, Exchange> exchanges;
    /// \brief Failures of connections whose cause is not known yet.
    std::vector<std::pair<std::string, policy::FailureKind>> unverifiedFailures;
    /// \brief Callbacks that wait for the result of a check.
    std::vector<std::function<void(bool)>> proofWaiters;
    core::TimePoint provenAt {};
    transport::ExchangeId lastId = 0;
    core::TimePoint lastTickAt {};
};

} // namespace lagoontiller::gateway
