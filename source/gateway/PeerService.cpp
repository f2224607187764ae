#include "gateway/PeerService.h"

#include "core/Encoding.h"
#include "core/Hash.h"
#include "core/Log.h"
#include "gateway/impl/BudgetAnswers.h"
#include "gateway/impl/TurnRows.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time after which a home that waits for the store answers PENDING; below the time-out after which a peer is
/// suspected.
constexpr core::Duration pendingAnswerDelay = std::chrono::milliseconds(100);
/// \brief Maximum wait for a reservation; callers disconnect after 2 s without an event.
constexpr core::Duration maxReservationWait = std::chrono::milliseconds(1'500);
/// \brief Maximum number of homes that are tried before the node reserves from its own share.
constexpr int maxHomesTried = 2;

} // namespace

PeerService::PeerService(PeerServiceDependencies dependencies)
    : client(dependencies.client)
    , server(dependencies.server)
    , tokenBudgets(dependencies.tokenBudgets)
    , turnStore(dependencies.turnStore)
    , nodeRegistry(dependencies.nodeRegistry)
    , relayServer(dependencies.relayServer)
    , outageBuckets(dependencies.outageBuckets)
    , incarnation(core::randomHex(8))
{
    this->server.setEchoField(PeerClient::exchangeField);
    this->tokenBudgets.setShareHolders({ [this](const std::string& nodeKey) {
                                            const auto at = nodeKey.rfind(':');
                                            return this->nodeRegistry.isAlive(
                                                nodeKey.substr(0, at), nodeKey.substr(at + 1));
                                        },
        [this](const std::string& nodeKey, const std::string& program) { this->askToReturn(nodeKey, program); },
        [this](const std::string& program) { return this->outageBuckets.holder(program); },
        [this](const std::string& program, core::Duration retention, bool ownedByRows,
            const std::function<void(bool)>& done) {
            this->giveUpOutagePart(program, retention, ownedByRows, done);
        } });
}

void PeerService::askToReturn(const std::string& nodeKey, const std::string& program)
{
    const auto address = this->nodeRegistry.peerAddress(nodeKey.substr(0, nodeKey.rfind(':')));
    if (address.empty())
        return;
    wire::PeerRequest message;
    message.mutable_return_tokens()->set_program(program);
    // If the message is lost, the turn is refused and the next one asks again.
    this->client.send(address, message, [](const wire::PeerResponse*) {});
}

std::string PeerService::homeOf(const std::string& key, core::TimePoint now) const
{
    const auto hash = core::hash64(key);
    std::string best;
    std::uint64_t highest = 0;
    bool self = true;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self && this->client.isSuspected(peer.address, now))
            continue;
        const auto score = core::combine(hash, core::hash64(peer.address));
        if (score >= highest) {
            highest = score;
            best = peer.address;
            self = peer.self;
        }
    }
    return self ? std::string() : best;
}

void PeerService::reserveLocally(
    const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done)
{
    const bool firstTurn = this->tokenBudgets.isUnused(request.program);
    this->tokenBudgets.reserve(
        request, now, [done = std::move(done), tokens = request.tokens, firstTurn](BudgetAnswer answer) {
            done(Reservation { answer, {}, {}, tokens, firstTurn });
        });
}

void PeerService::reserve(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done)
{
    auto attempt = std::make_shared<ReservationAttempt>();
    attempt->request = request;
    attempt->request.outagePart = grantablePart(request);
    attempt->deadline = now + maxReservationWait;
    attempt->done = std::move(done);
    this->reserveAt(this->homeOf(request.program, now), attempt);
}

BudgetOutlook PeerService::budgetOutlook(const BudgetRequest& request, core::TimePoint now) const
{
    BudgetOutlook outlook;
    outlook.home = this->homeOf(request.program, now);
    if (!outlook.home.empty())
        return outlook;
    auto own = request;
    own.outagePart = grantablePart(request);
    outlook.firstTurn = this->tokenBudgets.isUnused(request.program);
    const auto answer = this->tokenBudgets.localAnswer(own, now);
    if (answer && !leavesToOutagePart(*answer, own))
        outlook.answer = answer;
    return outlook;
}

void PeerService::reserveAt(const std::string& home, const std::shared_ptr<ReservationAttempt>& attempt)
{
    if (home.empty()) {
        this->reserveLocally(attempt->request, core::monotonicNow(),
            [this, attempt](Reservation reservation) { this->rowsAnswered(attempt, std::move(reservation)); });
        return;
    }
    attempt->home = home;
    attempt->id = this->incarnation + "." + std::to_string(++this->lastReservationId);
    ++attempt->homesTried;
    this->sendReservation(attempt);
}

void PeerService::sendReservation(const std::shared_ptr<ReservationAttempt>& attempt)
{
    const auto& request = attempt->request;
    wire::PeerRequest message;
    auto* const reserve = message.mutable_reserve();
    reserve->set_program(request.program);
    reserve->set_budget(request.budget);
    reserve->set_tokens(request.tokens);
    reserve->set_retention_ms(static_cast<std::uint64_t>(request.retention.count() / 1'000));
    reserve->set_hold_ms(static_cast<std::uint64_t>(request.hold.count() / 1'000));
    reserve->set_reservation(attempt->id);
    reserve->set_may_run_in_outage(request.mayRunInOutage);
    this->client.send(attempt->home, message, [this, attempt](const wire::PeerResponse* response) {
        const auto now = core::monotonicNow();
        if (response != nullptr && response->budget() == wire::PeerResponse::PENDING && now < attempt->deadline) {
            this->sendReservation(attempt);
            return;
        }
        const auto answer = response == nullptr ? BudgetAnswer::Unavailable : impl::decodeAnswer(response->budget());
        // Even if its response is lost, the home may have reserved the tokens or may still do so.
        if (answer == BudgetAnswer::Unavailable)
            this->settleAt(attempt->home, attempt->id, 0);
        if (response == nullptr && attempt->homesTried < maxHomesTried)
            this->reserveAt(this->homeOf(attempt->request.program, now), attempt);
        else if (response == nullptr)
            this->reserveAt({}, attempt);
        else
            this->rowsAnswered(attempt,
                Reservation { answer, attempt->home, attempt->id, attempt->request.tokens, response->first_turn() });
    });
}

void PeerService::settle(
    const std::string& program, const Reservation& reservation, std::uint64_t used, core::TimePoint now)
{
    if (reservation.outagePart && reservation.peer.empty()) {
        this->outageTokens.settle(program, reservation.tokens, used, core::BootClock::now());
        return;
    }
    if (reservation.peer.empty()) {
        this->tokenBudgets.settle(program, reservation.tokens, used, now);
        return;
    }
    this->settleAt(reservation.peer, reservation.id, used);
}

void PeerService::settleAt(const std::string& peer, const std::string& reservation, std::uint64_t used)
{
    wire::PeerRequest message;
    auto* const settle = message.mutable_settle();
    settle->set_reservation(reservation);
    settle->set_used(used);
    // If a settlement is lost, the peer counts all reserved tokens as used, so the budget is never exceeded.
    this->client.send(peer, message, [](const wire::PeerResponse*) {});
}

void PeerService::tick(core::TimePoint now)
{
    this->streamVersions.tick(now);
    this->outageTokens.tick(core::BootClock::now());
    std::vector<std::string> overdue;
    for (auto& [id, held] : this->heldReservations) {
        if (held.waiter && held.answerBy <= now)
            this->answerReservation(held, wire::PeerResponse::PENDING);
        if (held.answer && held.settleBy <= now)
            overdue.push_back(id);
    }
    for (const auto& id : overdue) {
        const auto held = std::move(this->heldReservations.extract(id).mapped());
        if (held.answer != BudgetAnswer::Granted)
            continue;
        core::logWarning("reservation_overdue").with("program", held.program).with("tokens", held.tokens);
        // All of the tokens count as used.
        if (held.outagePart)
            continue;
        this->tokenBudgets.settle(held.program, held.tokens, held.tokens, now);
    }
}

HistoryOutlook PeerService::historyOutlook(
    const std::string& program, const std::string& turn, core::TimePoint now) const
{
    if (this->turnStore.isCached(turn))
        return { true, {} };
    return { false, this->homeOf(program, now) };
}

void PeerService::loadHistory(const std::string& program, const std::string& turn, core::TimePoint now,
    std::function<void(tl::expected<Chain, HistoryFailure>)> done)
{
    const auto outlook = this->historyOutlook(program, turn, now);
    if (outlook.home.empty()) {
        this->turnStore.load(turn, std::move(done));
        return;
    }
    wire::PeerRequest message;
    message.mutable_load()->set_turn(turn);
    this->client.send(outlook.home, message, [this, turn, done = std::move(done)](const wire::PeerResponse* response) {
        if (response == nullptr || response->chain().empty()) {
            this->turnStore.load(turn, done);
            return;
        }
        Chain chain;
        for (const auto& each : response->chain()) {
            chain.push_back(impl::decodeRecord(each.id(), each.turn()));
            this->turnStore.cache(chain.back());
        }
        done(std::move(chain));
    });
}

void PeerService::offerTurn(const std::string& program, const Turn& turn, core::TimePoint now)
{
    const auto home = this->homeOf(program, now);
    if (home.empty())
        return;
    wire::PeerRequest message;
    message.mutable_offer()->set_id(turn.id);
    *message.mutable_offer()->mutable_turn() = impl::encodeRecord(turn);
    this->client.send(home, message, [](const wire::PeerResponse*) {});
}

std::vector<std::string> PeerService::answeringPeers(core::TimePoint now) const
{
    std::vector<std::string> peers;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self && !this->client.isSuspected(peer.address, now))
            peers.push_back(peer.address);
    }
    return peers;
}

void PeerService::announceStop(core::TimePoint now)
{
    wire::PeerRequest message;
    const auto& self = this->nodeRegistry.ownEntry();
    message.mutable_node_stopping()->set_name(self.name);
    message.mutable_node_stopping()->set_incarnation(self.incarnation);
    for (const auto& peer : this->answeringPeers(now))
        this->client.send(peer, message, [](const wire::PeerResponse*) {});
}

void PeerService::announceLongPrompt(const LongPromptNotice& notice, core::TimePoint now)
{
    const auto peers = this->answeringPeers(now);
    const auto count = this->noticeAllowance.take(peers.size(), now);
    if (count == 0)
        return;
    wire::PeerRequest message;
    auto* const prompt = message.mutable_long_prompt();
    prompt->set_endpoint(notice.endpoint);
    prompt->set_started_at_ms(notice.endpointStartedAt);
    prompt->set_uncached_tokens(notice.uncachedTokens);
    // The peers take turns, so that all of them learn of some prompts where not all messages may be sent.
    for (std::size_t sent = 0; sent < count; ++sent)
        this->client.send(peers[this->nextNoticePeer++ % peers.size()], message, [](const wire::PeerResponse*) {});
}

void PeerService::respond(transport::ConnectionId connection, const wire::PeerResponse& response)
{
    this->server.respond(connection, transport::statusLine(200), response.SerializeAsString());
}

void PeerService::serveReserve(
    transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now)
{
    if (this->draining) {
        this->server.respond(connection, transport::statusLine(503), {});
        return;
    }
    if (reserve.outage_part()) {
        this->serveOutagePart(connection, reserve, now);
        return;
    }
    const auto hold = std::chrono::milliseconds(reserve.hold_ms());
    const auto [found, added] = this->heldReservations.try_emplace(reserve.reservation());
    auto& held = found->second;
    held.waiter = connection;
    held.answerBy = now + pendingAnswerDelay;
    if (!added) {
        if (held.answer)
            this->answerReservation(held, impl::encodeAnswer(*held.answer));
        return;
    }
    held.program = reserve.program();
    held.tokens = reserve.tokens();
    held.firstTurn = this->tokenBudgets.isUnused(reserve.program());
    held.settleBy = now + hold + settlementMargin;
    BudgetRequest budgetRequest { reserve.program(), reserve.budget(), reserve.tokens(),
        std::chrono::milliseconds(reserve.retention_ms()), hold };
    budgetRequest.outagePart = grantablePart(budgetRequest);
    budgetRequest.mayRunInOutage = reserve.may_run_in_outage();
    this->tokenBudgets.reserve(budgetRequest, now,
        [this, id = reserve.reservation()](BudgetAnswer answer) { this->reservationEnded(id, answer); });
}

void PeerService::reservationEnded(const std::string& reservation, BudgetAnswer answer)
{
    auto& held = this->heldReservations.at(reservation);
    held.answer = answer;
    this->answerReservation(held, impl::encodeAnswer(answer));
    if (!held.settled && answer == BudgetAnswer::Granted)
        return;
    const auto ended = std::move(this->heldReservations.extract(reservation).mapped());
    if (answer == BudgetAnswer::Granted)
        this->tokenBudgets.settle(ended.program, ended.tokens, 0, core::monotonicNow());
}

void PeerService::answerReservation(HeldReservation& held, int answer)
{
    if (!held.waiter)
        return;
    wire::PeerResponse response;
    response.set_budget(static_cast<wire::PeerResponse::BudgetAnswer>(answer));
    response.set_first_turn(held.firstTurn);
    this->respond(*std::exchange(held.waiter, std::nullopt), response);
}

void PeerService::serveSettle(const wire::SettleTokens& settle, core::TimePoint now)
{
    const auto found = this->heldReservations.find(settle.reservation());
    if (found == this->heldReservations.end())
        return;
    if (!found->second.answer) {
        found->second.settled = true;
        return;
    }
    const auto held = std::move(this->heldReservations.extract(found).mapped());
    if (held.outagePart)
        this->outageTokens.settle(held.program, held.tokens, settle.used(), core::BootClock::now());
    else if (held.answer == BudgetAnswer::Granted)
        this->tokenBudgets.settle(held.program, held.tokens, settle.used(), now);
}

void PeerService::serve(transport::ConnectionId connection, const transport::Request& request, core::TimePoint now)
{
    wire::PeerRequest message;
    if (!message.ParseFromString(request.body)) {
        core::logWarning("peer_message_unreadable").with("peer", request.clientAddress);
        this->server.respond(connection, transport::statusLine(400), {});
        return;
    }
    switch (message.request_case()) {
    case wire::PeerRequest::kReserve:
        this->serveReserve(connection, message.reserve(), now);
        return;
    case wire::PeerRequest::kSettle:
        this->serveSettle(message.settle(), now);
        break;
    case wire::PeerRequest::kLoad: {
        wire::PeerResponse response;
        for (const auto& turn : this->turnStore.cachedChain(message.load().turn())) {
            auto* const offered = response.add_chain();
            offered->set_id(turn->id);
            *offered->mutable_turn() = impl::encodeRecord(*turn);
        }
        this->respond(connection, response);
        return;
    }
    case wire::PeerRequest::kOffer:
        this->turnStore.cache(impl::decodeRecord(message.offer().id(), message.offer().turn()));
        break;
    case wire::PeerRequest::kNoteStream:
        this->serveNoteStream(message.note_stream(), now);
        break;
    case wire::PeerRequest::kReturnTokens:
        this->tokenBudgets.returnUnusedShare(message.return_tokens().program());
        break;
    case wire::PeerRequest::kFindStream:
        this->serveFindStream(connection, message.find_stream().stream());
        return;
    case wire::PeerRequest::kTransaction:
    case wire::PeerRequest::kRead:
        this->relayServer.serve(message, now,
            [this, connection](const wire::PeerResponse& response) { this->respond(connection, response); });
        return;
    case wire::PeerRequest::kGiveUpOutagePart:
        this->serveGiveUpOutagePart(connection, message.give_up_outage_part());
        return;
    case wire::PeerRequest::kTakePermits:
    case wire::PeerRequest::kQuotaReport:
        if (this->quotaHandler) {
            this->respond(connection, this->quotaHandler(message));
            return;
        }
        break;
    case wire::PeerRequest::kLongPrompt:
        if (this->longPromptHandler) {
            const auto& prompt = message.long_prompt();
            this->longPromptHandler({ prompt.endpoint(), prompt.started_at_ms(), prompt.uncached_tokens() });
        }
        break;
    case wire::PeerRequest::kNodeStopping:
        this->nodeRegistry.noteStopping(message.node_stopping().name(), message.node_stopping().incarnation());
        break;
    case wire::PeerRequest::REQUEST_NOT_SET:
        break;
    }
    this->respond(connection, {});
}

} // namespace lagoontiller::gateway
