#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/PeerClient.h"
#include "gateway/RelaySelector.h"

namespace lagoontiller::gateway::wire {
class RelayedAnswer;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief Store access that is relayed through a peer while this node cannot reach the store; RelaySelector chooses it.
///
/// The store may reject some nodes while it serves others. A call that was not executed is relayed at once. A
/// transaction without an answer may have been executed, so its failure is passed to the caller, which knows whether it
/// may be repeated; a read without an answer goes to the next peer. If no peer can reach the store, it may only be
/// slow, and the call is made directly. Watches are not relayed: without direct access, the heartbeats of this node
/// stop as well, and the other nodes remove it from entry answers.
class RelayedStore : public RowStore {
public:
    RelayedStore(RowStore& directStore, StoreHealth& storeHealth, PeerClient& client, const NodeRegistry& nodeRegistry);

    void transact(RowTransaction transaction, core::Duration timeout,
        std::function<void(StoreResult<TransactionResult>)> done) override;
    void read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done) override;
    void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(StoreResult<RowPage>)> done) override;

    /// \brief Looks for peers that can reach the store while this node cannot; call several times a second.
    void tick(core::TimePoint now);

private:
    using AnswerHandler = std::function<void(const wire::RelayedAnswer&)>;
    using UnreachableHandler = std::function<void()>;

    /// \brief A call that is sent to one peer after the other.
    struct Relay {
        std::shared_ptr<wire::PeerRequest> request;
        std::vector<std::string> peers;
        AnswerHandler onAnswer;
        UnreachableHandler onUnreachable;
    };

    /// \brief Sends the call to peers until one of them can reach the store; calls `onUnreachable` if none can.
    void relay(const std::shared_ptr<wire::PeerRequest>& request, RelaySelector::Purpose purpose,
        AnswerHandler onAnswer, UnreachableHandler onUnreachable);
    void tryNextPeer(const std::shared_ptr<Relay>& relay);
    [[nodiscard]] std::vector<std::string> choosePeers(RelaySelector::Purpose purpose, core::TimePoint now);

    RowStore& directStore;
    StoreHealth& storeHealth;
    PeerClient& client;
    const NodeRegistry& nodeRegistry;
    RelaySelector selector { std::random_device()() };
};

} // namespace lagoontiller::gateway
