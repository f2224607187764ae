#include "gateway/RelayedStore.h"

#include "core/Log.h"
#include "gateway/impl/RelayMessages.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Peers that are asked for one call: the store seldom turns away more than a third of the nodes, so that two
/// more are without contact at most once in nine calls.
constexpr std::size_t mostPeers = 2;

constexpr bool wasNotDone(StoreFailure failure) noexcept
{
    return failure == StoreFailure::NotDone;
}

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
    const auto relayed = [this, done](const wire::PeerResponse* response) {
        if (response == nullptr) {
            done(tl::unexpected(StoreFailure::Unknown));
            return;
        }
        done(impl::decodeTransactionResult(response->relayed()));
    };
    if (this->contact.failing()) {
        this->relay(request, this->choosePeers(core::monotonicNow()), relayed);
        return;
    }
    this->direct.transact(
        std::move(transaction), timeout, [this, request, relayed, done](StoreResult<TransactionResult> result) {
            if (!result && wasNotDone(result.error()))
                this->relay(request, this->choosePeers(core::monotonicNow()), relayed);
            else
                done(std::move(result));
        });
}

void RelayedStore::read(RowRange range, core::Duration timeout, std::function<void(StoreResult<RowPage>)> done)
{
    auto request = std::make_shared<wire::PeerRequest>();
    *request->mutable_read() = impl::encodeRange(range);
    const auto relayed = [done](const wire::PeerResponse* response) {
        if (response == nullptr)
            done(tl::unexpected(StoreFailure::Unknown));
        else
            done(impl::decodePage(response->relayed()));
    };
    if (this->contact.failing()) {
        this->relay(request, this->choosePeers(core::monotonicNow()), relayed);
        return;
    }
    // A read may be repeated whatever became of it.
    this->direct.read(std::move(range), timeout, [this, request, relayed, done](StoreResult<RowPage> result) {
        if (!result && result.error() != StoreFailure::Overloaded)
            this->relay(request, this->choosePeers(core::monotonicNow()), relayed);
        else
            done(std::move(result));
    });
}

void RelayedStore::watch(
    const std::string& table, std::uint64_t after, core::Duration wait, std::function<void(StoreResult<RowPage>)> done)
{
    this->direct.watch(table, after, wait, std::move(done));
}

void RelayedStore::relay(
    const std::shared_ptr<wire::PeerRequest>& request, std::vector<std::string> peers, Relayed done)
{
    if (peers.empty()) {
        this->contact.relayEnded(false, core::monotonicNow());
        wire::PeerResponse response;
        response.mutable_relayed()->set_outcome(wire::RelayedAnswer::NOT_DONE);
        done(&response);
        return;
    }
    const auto peer = peers.back();
    peers.pop_back();
    this->link.ask(peer, *request, [this, request, peers = std::move(peers), done](const wire::PeerResponse* response) {
        // A peer that did not answer may have done the call.
        if (response == nullptr) {
            done(nullptr);
            return;
        }
        if (response->relayed().outcome() == wire::RelayedAnswer::NOT_DONE) {
            this->relay(request, peers, done);
            return;
        }
        const auto now = core::monotonicNow();
        this->contact.relayEnded(true, now);
        this->contact.clock(response->relayed().store_ms(), now);
        done(response);
    });
}

std::vector<std::string> RelayedStore::choosePeers(core::TimePoint now)
{
    std::vector<std::string> usable;
    for (const auto& peer : this->roster.zonePeers()) {
        if (!peer.self && !this->link.suspected(peer.address, now))
            usable.push_back(peer.address);
    }
    std::vector<std::string> chosen;
    for (std::size_t count = 0; count < std::min(mostPeers, usable.size()); ++count)
        chosen.push_back(usable[(this->nextPeer + count) % usable.size()]);
    ++this->nextPeer;
    return chosen;
}

} // namespace lagoontiller::gateway
