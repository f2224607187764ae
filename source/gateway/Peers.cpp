#include "gateway/Peers.h"

#include "core/Encoding.h"
#include "core/Hash.h"
#include "core/Log.h"
#include "gateway/impl/TurnRows.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Added to the longest time of a turn before an unsettled reservation counts as used: a stream that its caller
/// reads slowly, and the way of the settlement.
constexpr core::Duration settleMargin = std::chrono::milliseconds(2'000);
/// \brief Time after which a home that waits for the store says so: below the time after which a peer counts as lost.
constexpr core::Duration pendingAfter = std::chrono::milliseconds(100);
/// \brief Longest wait for a reservation; callers leave a stream after two seconds without an event.
constexpr core::Duration longestReservation = std::chrono::milliseconds(1'500);
/// \brief Homes that are tried one after the other before a node takes a share of its own.
constexpr int maximumHomes = 2;

BudgetAnswer budgetAnswer(wire::PeerResponse::BudgetAnswer answer) noexcept
{
    switch (answer) {
    case wire::PeerResponse::GRANTED:
        return BudgetAnswer::Granted;
    case wire::PeerResponse::EXHAUSTED:
        return BudgetAnswer::Exhausted;
    case wire::PeerResponse::HELD:
        return BudgetAnswer::Held;
    default:
        return BudgetAnswer::Unavailable;
    }
}

wire::PeerResponse::BudgetAnswer encode(BudgetAnswer answer) noexcept
{
    switch (answer) {
    case BudgetAnswer::Granted:
        return wire::PeerResponse::GRANTED;
    case BudgetAnswer::Exhausted:
        return wire::PeerResponse::EXHAUSTED;
    case BudgetAnswer::Held:
        return wire::PeerResponse::HELD;
    case BudgetAnswer::Unavailable:
        return wire::PeerResponse::UNAVAILABLE;
    }
    return wire::PeerResponse::UNAVAILABLE;
}

} // namespace

Peers::Peers(PeerParts parts)
    : link(parts.link)
    , server(parts.server)
    , budgets(parts.budgets)
    , histories(parts.histories)
    , roster(parts.roster)
    , relays(parts.relays)
    , incarnation(core::randomHex(8))
{
}

std::string Peers::homeOf(const std::string& program, core::TimePoint now)
{
    const auto hash = core::hash64(program);
    std::string best;
    std::uint64_t highest = 0;
    bool self = true;
    for (const auto& peer : this->roster.zonePeers()) {
        if (!peer.self && this->link.suspected(peer.address, now))
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

void Peers::reserveHere(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done)
{
    this->budgets.reserve(request, now, [done = std::move(done), tokens = request.tokens](BudgetAnswer answer) {
        done(Reservation { answer, {}, {}, tokens });
    });
}

void Peers::reserve(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done)
{
    auto asking = std::make_shared<Asking>();
    asking->request = request;
    asking->giveUpAt = now + longestReservation;
    asking->done = std::move(done);
    this->reserveAt(this->homeOf(request.program, now), asking);
}

void Peers::reserveAt(const std::string& home, const std::shared_ptr<Asking>& asking)
{
    if (home.empty()) {
        this->reserveHere(asking->request, core::monotonicNow(), std::move(asking->done));
        return;
    }
    asking->home = home;
    asking->id = this->incarnation + "." + std::to_string(++this->lastReservation);
    ++asking->homes;
    this->askReservation(asking);
}

void Peers::askReservation(const std::shared_ptr<Asking>& asking)
{
    const auto& request = asking->request;
    wire::PeerRequest message;
    auto* const reserve = message.mutable_reserve();
    reserve->set_program(request.program);
    reserve->set_budget(request.budget);
    reserve->set_tokens(request.tokens);
    reserve->set_retention_ms(static_cast<std::uint64_t>(request.retention.count() / 1'000));
    reserve->set_hold_ms(static_cast<std::uint64_t>(request.hold.count() / 1'000));
    reserve->set_reservation(asking->id);
    this->link.ask(asking->home, message, [this, asking](const wire::PeerResponse* response) {
        const auto now = core::monotonicNow();
        if (response != nullptr && response->budget() == wire::PeerResponse::PENDING && now < asking->giveUpAt) {
            this->askReservation(asking);
            return;
        }
        const auto answer = response == nullptr ? BudgetAnswer::Unavailable : budgetAnswer(response->budget());
        // The home may have reserved the tokens, or do so later, although its answer did not come.
        if (answer == BudgetAnswer::Unavailable)
            this->settleAt(asking->home, asking->id, 0);
        if (response == nullptr && asking->homes < maximumHomes)
            this->reserveAt(this->homeOf(asking->request.program, now), asking);
        else if (response == nullptr)
            this->reserveHere(asking->request, now, std::move(asking->done));
        else
            asking->done(Reservation { answer, asking->home, asking->id, asking->request.tokens });
    });
}

void Peers::settle(const std::string& program, const Reservation& reservation, std::uint64_t used, core::TimePoint now)
{
    if (reservation.peer.empty()) {
        this->budgets.settle(program, reservation.tokens, used, now);
        return;
    }
    this->settleAt(reservation.peer, reservation.id, used);
}

void Peers::settleAt(const std::string& peer, const std::string& reservation, std::uint64_t used)
{
    wire::PeerRequest message;
    auto* const settle = message.mutable_settle();
    settle->set_reservation(reservation);
    settle->set_used(used);
    // After a lost settlement the peer counts all tokens as used, which errs on the side of the budget.
    this->link.ask(peer, message, [](const wire::PeerResponse*) {});
}

void Peers::tick(core::TimePoint now)
{
    std::vector<std::string> overdue;
    for (auto& [id, held] : this->held) {
        if (held.waiter && held.answerBy <= now)
            this->answerReservation(held, wire::PeerResponse::PENDING);
        if (held.answer && held.until <= now)
            overdue.push_back(id);
    }
    for (const auto& id : overdue) {
        const auto held = std::move(this->held.extract(id).mapped());
        if (held.answer != BudgetAnswer::Granted)
            continue;
        core::logWarning("reservation_overdue").with("program", held.program).with("tokens", held.tokens);
        this->budgets.settle(held.program, held.tokens, held.tokens, now);
    }
}

void Peers::load(const std::string& program, const std::string& turn, core::TimePoint now,
    std::function<void(tl::expected<Chain, HistoryFailure>)> done)
{
    const auto home = this->homeOf(program, now);
    if (home.empty() || this->histories.inMemory(turn)) {
        this->histories.load(turn, std::move(done));
        return;
    }
    wire::PeerRequest message;
    message.mutable_load()->set_turn(turn);
    this->link.ask(home, message, [this, turn, done = std::move(done)](const wire::PeerResponse* response) {
        if (response == nullptr || response->chain().empty()) {
            this->histories.load(turn, done);
            return;
        }
        Chain chain;
        for (const auto& each : response->chain()) {
            chain.push_back(impl::decodeRecord(each.id(), each.turn()));
            this->histories.keep(chain.back());
        }
        done(std::move(chain));
    });
}

void Peers::offer(const std::string& program, const Turn& turn, core::TimePoint now)
{
    const auto home = this->homeOf(program, now);
    if (home.empty())
        return;
    wire::PeerRequest message;
    message.mutable_offer()->set_id(turn.id);
    *message.mutable_offer()->mutable_turn() = impl::encodeRecord(turn);
    this->link.ask(home, message, [](const wire::PeerResponse*) {});
}

void Peers::respond(transport::ConnectionId connection, const wire::PeerResponse& response)
{
    this->server.respond(connection, transport::statusLine(200), response.SerializeAsString());
}

void Peers::serveReserve(transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now)
{
    if (this->draining) {
        this->server.respond(connection, transport::statusLine(503), {});
        return;
    }
    const auto hold = std::chrono::milliseconds(reserve.hold_ms());
    const auto [found, added] = this->held.try_emplace(reserve.reservation());
    auto& held = found->second;
    held.waiter = connection;
    held.answerBy = now + pendingAfter;
    if (!added) {
        if (held.answer)
            this->answerReservation(held, encode(*held.answer));
        return;
    }
    held.program = reserve.program();
    held.tokens = reserve.tokens();
    held.until = now + hold + settleMargin;
    const BudgetRequest asked { reserve.program(), reserve.budget(), reserve.tokens(),
        std::chrono::milliseconds(reserve.retention_ms()), hold };
    this->budgets.reserve(
        asked, now, [this, id = reserve.reservation()](BudgetAnswer answer) { this->reserved(id, answer); });
}

void Peers::reserved(const std::string& reservation, BudgetAnswer answer)
{
    auto& held = this->held.at(reservation);
    held.answer = answer;
    this->answerReservation(held, encode(answer));
    if (!held.settled && answer == BudgetAnswer::Granted)
        return;
    const auto ended = std::move(this->held.extract(reservation).mapped());
    if (answer == BudgetAnswer::Granted)
        this->budgets.settle(ended.program, ended.tokens, 0, core::monotonicNow());
}

void Peers::answerReservation(Held& held, int answer)
{
    if (!held.waiter)
        return;
    wire::PeerResponse response;
    response.set_budget(static_cast<wire::PeerResponse::BudgetAnswer>(answer));
    this->respond(*std::exchange(held.waiter, std::nullopt), response);
}

void Peers::serveSettle(const wire::SettleTokens& settle, core::TimePoint now)
{
    const auto found = this->held.find(settle.reservation());
    if (found == this->held.end())
        return;
    if (!found->second.answer) {
        found->second.settled = true;
        return;
    }
    const auto held = std::move(this->held.extract(found).mapped());
    if (held.answer == BudgetAnswer::Granted)
        this->budgets.settle(held.program, held.tokens, settle.used(), now);
}

void Peers::serve(transport::ConnectionId connection, const transport::Request& request, core::TimePoint now)
{
    wire::PeerRequest message;
    if (!message.ParseFromString(request.body)) {
        core::logWarning("peer_message_unreadable").with("peer", request.peer);
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
        for (const auto& turn : this->histories.chainInMemory(message.load().turn())) {
            auto* const offered = response.add_chain();
            offered->set_id(turn->id);
            *offered->mutable_turn() = impl::encodeRecord(*turn);
        }
        this->respond(connection, response);
        return;
    }
    case wire::PeerRequest::kOffer:
        this->histories.keep(impl::decodeRecord(message.offer().id(), message.offer().turn()));
        break;
    case wire::PeerRequest::kTransaction:
    case wire::PeerRequest::kRead:
        this->relays.serve(
            message, [this, connection](const wire::PeerResponse& response) { this->respond(connection, response); });
        return;
    case wire::PeerRequest::REQUEST_NOT_SET:
        break;
    }
    this->respond(connection, {});
}

} // namespace lagoontiller::gateway
