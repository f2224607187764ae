#include "gateway/RelayedStore.h"

#include "core/Log.h"
#include "gateway/impl/RelayMessages.h"

#include <algorithm>

namespace lagoontiller::gateway {

using Purpose = RelaySelector::Purpose;

RelayedStore::RelayedStore(
    RowStore& directStore, StoreHealth& storeHealth, PeerClient& client, const NodeRegistry& nodeRegistry)
    : directStore(directStore)
    , storeHealth(storeHealth)
    , client(client)
    , nodeRegistry(nodeRegistry)
{
    this->storeHealth.enableRelays();
}

void RelayedStore::transact(
    RowTransaction transaction, core::Duration timeout, std::function<void(StoreResult<TransactionResult>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_transaction() = impl::encodeTransaction(transaction);
    const auto onAnswer = [done](const wire::RelayedAnswer& answer) { done(impl::decodeTransactionResult(answer)); };
    if (this->storeHealth.failing()) {
        this->relay(
            request, Purpose::Call, onAnswer, [this, transaction = std::move(transaction), timeout, done]() mutable {
                this->directStore.transact(std::move(transaction), timeout, std::move(done));
            });
        return;
    }
    this->directStore.transact(
        std::move(transaction), timeout, [this, request, onAnswer, done](StoreResult<TransactionResult> result) {
            if (result || result.error() != StoreFailure::NotDone)
                done(std::move(result));
            else
                this->relay(request, Purpose::Call, onAnswer, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
        });
}

void RelayedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_read() = impl::encodeRange(range);
    const auto onAnswer = [done](const wire::RelayedAnswer& answer) { done(impl::decodePage(answer)); };
    if (this->storeHealth.failing()) {
        this->relay(request, Purpose::Call, onAnswer, [this, range = std::move(range), timeout, done]() mutable {
            this->directStore.read(std::move(range), timeout, std::move(done));
        });
        return;
    }
    // A read may be repeated whatever the result of the first attempt.
    this->directStore.read(std::move(range), timeout, [this, request, onAnswer, done](StoreResult<RowPage> result) {
        if (result || result.error() == StoreFailure::Overloaded)
            done(std::move(result));
        else
            this->relay(request, Purpose::Call, onAnswer, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
    });
}

void RelayedStore::watch(
    const std::string& table, std::uint64_t after, core::Duration wait, std::function<void(StoreResult<RowPage>)> done)
{
    this->directStore.watch(table, after, wait, std::move(done));
}

void RelayedStore::tick(core::TimePoint now)
{
    if (!this->storeHealth.failing() || !this->storeHealth.shouldTryRelay(now))
        return;
    auto probe = std::make_shared<wire::PeerRequest>();
    *probe->mutable_read() = impl::encodeRange({ NodeRegistry::table, {}, {}, {}, 1 });
    this->relay(
        probe, Purpose::Probe, [](const wire::RelayedAnswer&) {}, [] {});
}

void RelayedStore::relay(const std::shared_ptr<wire::PeerRequest>& request, Purpose purpose, AnswerHandler onAnswer,
    UnreachableHandler onUnreachable)
{
    const auto now = core::monotonicNow();
    if (!this->storeHealth.shouldTryRelay(now)) {
        onUnreachable();
        return;
    }
    this->tryNextPeer(std::make_shared<Relay>(
        Relay { request, this->choosePeers(purpose, now), std::move(onAnswer), std::move(onUnreachable) }));
}

void RelayedStore::tryNextPeer(const std::shared_ptr<Relay>& relay)
{
    if (relay->peers.empty()) {
        this->storeHealth.noteRelayResult(false, core::monotonicNow());
        relay->onUnreachable();
        return;
    }
    const auto peer = relay->peers.back();
    relay->peers.pop_back();
    this->client.send(peer, *relay->request, [this, relay, peer](const wire::PeerResponse* response) {
        const auto now = core::monotonicNow();
        const bool unanswered = response == nullptr;
        if (unanswered && relay->request->has_transaction()) {
            // The peer may have executed the call.
            this->selector.notReached(peer, now);
            wire::RelayedAnswer unknown;
            unknown.set_outcome(wire::RelayedAnswer::UNKNOWN);
            relay->onAnswer(unknown);
            return;
        }
        if (unanswered || response->relayed().outcome() == wire::RelayedAnswer::NOT_DONE) {
            this->selector.notReached(peer, now);
            if (!unanswered && !response->relayed().stopping())
                this->storeHealth.notePeerWithoutStore(now);
            this->tryNextPeer(relay);
            return;
        }
        this->selector.reached(peer, now);
        this->storeHealth.noteRelayResult(true, now);
        this->storeHealth.noteStoreTime(response->relayed().store_ms(), now);
        relay->onAnswer(response->relayed());
    });
}

std::vector<std::string> RelayedStore::choosePeers(Purpose purpose, core::TimePoint now)
{
    std::vector<std::string> zonePeers;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self && !this->client.isSuspected(peer.address, now))
            zonePeers.push_back(peer.address);
    }
    auto otherPeers = this->nodeRegistry.otherZonePeers();
    std::erase_if(otherPeers, [&](const auto& address) { return this->client.isSuspected(address, now); });
    auto chosen = this->selector.choose(zonePeers, otherPeers, purpose, now);
    // Peers are taken from the back.
    std::reverse(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace lagoontiller::gateway
