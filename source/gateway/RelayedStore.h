#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/PeerClient.h"

namespace lagoontiller::gateway::wire {
class RelayedAnswer;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief The store as this node reaches it: directly or, while it has lost the contact, through a peer: one of its
/// zone, or of another where its zone has too few.
///
/// The store may turn away some nodes and serve the others. Calls that were not done go to a peer at once; a call that
/// was not answered may have been done and is left to its caller, which knows whether it may be repeated. When no peer
/// has contact the store may only be slow, and the call is made directly. Watches are
/// not relayed: a node with an old view of the configuration leaves the entry answers instead.
class RelayedStore : public RowStore {
public:
    RelayedStore(RowStore& directStore, StoreHealth& storeHealth, PeerClient& client, const NodeRegistry& nodeRegistry);

    void transact(RowTransaction transaction, core::Duration timeout,
        std::function<void(StoreResult<TransactionResult>)> done) override;
    void read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done) override;
    void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(StoreResult<RowPage>)> done) override;

    /// \brief Asks peers again whether one of them has contact, when the last ones had none; due several times a
    /// second.
    void tick(core::TimePoint now);

private:
    using AnswerHandler = std::function<void(const wire::RelayedAnswer&)>;
    using UnreachableHandler = std::function<void()>;

    /// \brief A call that is offered to one peer after the other.
    struct Relay {
        std::shared_ptr<wire::PeerRequest> request;
        std::vector<std::string> peers;
        AnswerHandler onAnswer;
        UnreachableHandler onUnreachable;
    };

    /// \brief Asks peers in turn until one has contact to the store; `denied` is called when none has.
    void relay(
        const std::shared_ptr<wire::PeerRequest>& request, AnswerHandler onAnswer, UnreachableHandler onUnreachable);
    void tryNextPeer(const std::shared_ptr<Relay>& relay);
    [[nodiscard]] std::vector<std::string> choosePeers(core::TimePoint now);

    RowStore& directStore;
    StoreHealth& storeHealth;
    PeerClient& client;
    const NodeRegistry& nodeRegistry;
    std::size_t nextPeer = 0;
};

} // namespace lagoontiller::gateway
