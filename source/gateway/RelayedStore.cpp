#include "gateway/RelayedStore.h"

#include "core/Log.h"
#include "gateway/impl/RelayMessages.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Maximum number of peers that are tried per call. In a partial outage the store rejects a third to a half of
/// the nodes, so all three fail for at most one call in eight.
constexpr std::size_t maxPeersPerCall = 3;

} // namespace

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
        this->relay(request, onAnswer, [this, transaction = std::move(transaction), timeout, done]() mutable {
            this->directStore.transact(std::move(transaction), timeout, std::move(done));
        });
        return;
    }
    this->directStore.transact(
        std::move(transaction), timeout, [this, request, onAnswer, done](StoreResult<TransactionResult> result) {
            if (result || result.error() != StoreFailure::NotDone)
                done(std::move(result));
            else
                this->relay(request, onAnswer, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
        });
}

void RelayedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_read() = impl::encodeRange(range);
    const auto onAnswer = [done](const wire::RelayedAnswer& answer) { done(impl::decodePage(answer)); };
    if (this->storeHealth.failing()) {
        this->relay(request, onAnswer, [this, range = std::move(range), timeout, done]() mutable {
            this->directStore.read(std::move(range), timeout, std::move(done));
        });
        return;
    }
    // A read may be repeated whatever the result of the first attempt.
    this->directStore.read(std::move(range), timeout, [this, request, onAnswer, done](StoreResult<RowPage> result) {
        if (result || result.error() == StoreFailure::Overloaded)
            done(std::move(result));
        else
            this->relay(request, onAnswer, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
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
        probe, [](const wire::RelayedAnswer&) {}, [] {});
}

void RelayedStore::relay(
    const std::shared_ptr<wire::PeerRequest>& request, AnswerHandler onAnswer, UnreachableHandler onUnreachable)
{
    const auto now = core::monotonicNow();
    if (!this->storeHealth.shouldTryRelay(now)) {
        onUnreachable();
        return;
    }
    this->tryNextPeer(std::make_shared<Relay>(
        Relay { request, this->choosePeers(now), std::move(onAnswer), std::move(onUnreachable) }));
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
    this->client.send(peer, *relay->request, [this, relay](const wire::PeerResponse* response) {
        if (response == nullptr) {
            // The peer may have executed the call.
            wire::RelayedAnswer unknown;
            unknown.set_outcome(wire::RelayedAnswer::UNKNOWN);
            relay->onAnswer(unknown);
            return;
        }
        if (response->relayed().outcome() == wire::RelayedAnswer::NOT_DONE) {
            this->tryNextPeer(relay);
            return;
        }
        const auto now = core::monotonicNow();
        this->storeHealth.noteRelayResult(true, now);
        this->storeHealth.noteStoreTime(response->relayed().store_ms(), now);
        relay->onAnswer(response->relayed());
    });
}

std::vector<std::string> RelayedStore::choosePeers(core::TimePoint now)
{
    std::vector<std::string> candidates;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self && !this->client.isSuspected(peer.address, now))
            candidates.push_back(peer.address);
    }
    std::rotate(candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(this->nextPeer % (candidates.size() + 1)), candidates.end());
    ++this->nextPeer;
    for (const auto& address : this->nodeRegistry.otherZonePeers()) {
        if (candidates.size() >= maxPeersPerCall)
            break;
        if (!this->client.isSuspected(address, now))
            candidates.push_back(address);
    }
    candidates.resize(std::min(candidates.size(), maxPeersPerCall));
    // Peers are taken from the back.
    std::reverse(candidates.begin(), candidates.end());
    return candidates;
}

} // namespace lagoontiller::gateway
