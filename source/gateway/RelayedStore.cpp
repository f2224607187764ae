#include "gateway/RelayedStore.h"

#include "core/Log.h"
#include "gateway/impl/RelayMessages.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Peers that are asked for one call: the store turns away a third to a half of the nodes, so that three more
/// are without contact at most once in eight calls.
constexpr std::size_t mostPeers = 3;

} // namespace

RelayedStore::RelayedStore(RowStore& direct, StoreContact& contact, PeerLink& link, const Roster& roster)
    : direct(direct)
    , contact(contact)
    , link(link)
    , roster(roster)
{
    this->contact.enableRelays();
}

void RelayedStore::transact(
    RowTransaction transaction, core::Duration timeout, std::function<void(StoreResult<TransactionResult>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_transaction() = impl::encodeTransaction(transaction);
    const auto answered = [done](const wire::RelayedAnswer& answer) { done(impl::decodeTransactionResult(answer)); };
    if (this->contact.failing()) {
        this->relay(request, answered, [this, transaction = std::move(transaction), timeout, done]() mutable {
            this->direct.transact(std::move(transaction), timeout, std::move(done));
        });
        return;
    }
    this->direct.transact(
        std::move(transaction), timeout, [this, request, answered, done](StoreResult<TransactionResult> result) {
            if (result || result.error() != StoreFailure::NotDone)
                done(std::move(result));
            else
                this->relay(request, answered, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
        });
}

void RelayedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_read() = impl::encodeRange(range);
    const auto answered = [done](const wire::RelayedAnswer& answer) { done(impl::decodePage(answer)); };
    if (this->contact.failing()) {
        this->relay(request, answered, [this, range = std::move(range), timeout, done]() mutable {
            this->direct.read(std::move(range), timeout, std::move(done));
        });
        return;
    }
    // A read may be repeated whatever became of it.
    this->direct.read(std::move(range), timeout, [this, request, answered, done](StoreResult<RowPage> result) {
        if (result || result.error() == StoreFailure::Overloaded)
            done(std::move(result));
        else
            this->relay(request, answered, [done] { done(tl::unexpected(StoreFailure::NotDone)); });
    });
}

void RelayedStore::watch(
    const std::string& table, std::uint64_t after, core::Duration wait, std::function<void(StoreResult<RowPage>)> done)
{
    this->direct.watch(table, after, wait, std::move(done));
}

void RelayedStore::tick(core::TimePoint now)
{
    if (!this->contact.failing() || !this->contact.relayMayWork(now))
        return;
    auto question = std::make_shared<wire::PeerRequest>();
    *question->mutable_read() = impl::encodeRange({ Roster::table, {}, {}, {}, 1 });
    this->relay(
        question, [](const wire::RelayedAnswer&) {}, [] {});
}

void RelayedStore::relay(const std::shared_ptr<wire::PeerRequest>& request, Answered answered, Denied denied)
{
    const auto now = core::monotonicNow();
    if (!this->contact.relayMayWork(now)) {
        denied();
        return;
    }
    this->askNext(
        std::make_shared<Relay>(Relay { request, this->choosePeers(now), std::move(answered), std::move(denied) }));
}

void RelayedStore::askNext(const std::shared_ptr<Relay>& relay)
{
    if (relay->peers.empty()) {
        this->contact.relayEnded(false, core::monotonicNow());
        relay->denied();
        return;
    }
    const auto peer = relay->peers.back();
    relay->peers.pop_back();
    this->link.ask(peer, *relay->request, [this, relay](const wire::PeerResponse* response) {
        if (response == nullptr) {
            // The peer may have done the call.
            wire::RelayedAnswer unknown;
            unknown.set_outcome(wire::RelayedAnswer::UNKNOWN);
            relay->answered(unknown);
            return;
        }
        if (response->relayed().outcome() == wire::RelayedAnswer::NOT_DONE) {
            this->askNext(relay);
            return;
        }
        const auto now = core::monotonicNow();
        this->contact.relayEnded(true, now);
        this->contact.clock(response->relayed().store_ms(), now);
        relay->answered(response->relayed());
    });
}

std::vector<std::string> RelayedStore::choosePeers(core::TimePoint now)
{
    std::vector<std::string> usable;
    for (const auto& peer : this->roster.zonePeers()) {
        if (!peer.self && !this->link.suspected(peer.address, now))
            usable.push_back(peer.address);
    }
    std::rotate(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(this->nextPeer % (usable.size() + 1)),
        usable.end());
    ++this->nextPeer;
    for (const auto& address : this->roster.distantPeers()) {
        if (usable.size() >= mostPeers)
            break;
        if (!this->link.suspected(address, now))
            usable.push_back(address);
    }
    usable.resize(std::min(usable.size(), mostPeers));
    // The last one is asked first.
    std::reverse(usable.begin(), usable.end());
    return usable;
}

} // namespace lagoontiller::gateway
