#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "platform/CallerMessages.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Time after which a caller should come back while the store is away; outages last seconds, and callers wait at
/// most a third of their remaining time.
constexpr core::Duration retryAfterStore = std::chrono::milliseconds(2'000);
/// \brief The same while other nodes hold tokens of the budget that they give back when the program is idle there.
constexpr core::Duration retryAfterHeld = std::chrono::milliseconds(800);
/// \brief The same while no configuration is known yet (start-up).
constexpr core::Duration retryAfterStart = std::chrono::milliseconds(500);

std::string_view text(BudgetAnswer answer) noexcept
{
    switch (answer) {
    case BudgetAnswer::Granted:
        return "granted";
    case BudgetAnswer::Exhausted:
        return "exhausted";
    case BudgetAnswer::Held:
        return "held";
    case BudgetAnswer::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace

Gateway::Gateway(GatewayParts parts, Place place, std::uint64_t seed)
    : parts(parts)
    , place(std::move(place))
    , random(seed)
{
}

void Gateway::configure(std::shared_ptr<const Configuration> next)
{
    this->routes = RouteTable(next->routes);
    this->services.clear();
    for (const auto& service : next->services)
        this->services.emplace(service.name, std::make_shared<const Service>(service));
    this->configuration = std::move(next);
}

void Gateway::arrive(transport::ConnectionId connection, transport::Request&& request, core::TimePoint now)
{
    auto call = platform::decodeCall(std::move(request));
    Flow flow;
    flow.id = ++this->lastFlow;
    flow.connection = connection;
    flow.arrived = now;
    flow.expires = core::TimePoint::max();
    if (!call) {
        const auto id = flow.id;
        this->byConnection[connection] = id;
        this->flows.emplace(id, std::move(flow));
        this->answer(id, { 400, core::ResultCode::InvalidField, call.error(), {} });
        return;
    }
    flow.call = std::move(*call);
    this->admit(std::move(flow), now);
}

void Gateway::admit(Flow&& arrived, core::TimePoint now)
{
    const auto id = arrived.id;
    this->byConnection[arrived.connection] = id;
    auto& flow = this->flows.emplace(id, std::move(arrived)).first->second;
    if (!this->configuration) {
        this->answer(id, { 503, core::ResultCode::NoDocument, "no_configuration", retryAfterStart });
        return;
    }
    flow.route = this->routes.find(flow.call.host, flow.call.path());
    if (!flow.route || flow.route->services.empty()) {
        this->answer(id, { 404, core::ResultCode::UnknownPath, "no_route", {} });
        return;
    }
    flow.digest = core::digestHex(flow.call.host + "\n" + flow.call.target + "\n" + flow.call.body);
    if (this->parts.losses.isolated(flow.digest, now)) {
        this->answer(id, { 503, core::ResultCode::RequestIsolated, "request_isolated", {} });
        return;
    }
    const auto key = core::hash64(flow.call.program.empty() ? flow.call.id : flow.call.program);
    const auto service = this->services.find(chooseService(*flow.route, key));
    if (service == this->services.end()) {
        this->answer(id, { 503, core::ResultCode::UnknownService, "no_service", retryAfterStart });
        return;
    }
    flow.service = service->second;
    const auto time = std::min(flow.call.deadline.value_or(flow.route->timeout), flow.route->timeout);
    flow.expires = now + time;
    flow.lastEvent = flow.call.lastEvent;
    flow.waitsForBudget
        = flow.route->kind == CallKind::Streaming && flow.call.tokenBudget.has_value() && !flow.call.program.empty();
    flow.waitsForHistory = flow.route->keepsHistory && !flow.call.previousTurn.empty();
    const bool history = flow.waitsForHistory;
    if (flow.waitsForBudget)
        this->reserveBudget(id, now);
    if (history && this->find(id) != nullptr)
        this->loadHistory(id);
    this->prepared(id);
}

void Gateway::reserveBudget(FlowId id, core::TimePoint now)
{
    auto* const flow = this->find(id);
    BudgetRequest request;
    request.program = flow->call.program;
    request.budget = *flow->call.tokenBudget;
    request.tokens = std::max<std::uint32_t>(flow->call.maximumOutputTokens, 1);
    request.retention = flow->route->retention;
    request.hold = flow->route->timeout;
    this->parts.peers.reserve(request, now, [this, id, program = request.program](const Reservation& reservation) {
        const bool granted = reservation.answer == BudgetAnswer::Granted;
        if (auto* const waiting = this->find(id)) {
            if (granted)
                waiting->reservation = reservation;
            this->budgetKnown(id, reservation.answer);
        } else if (granted) {
            this->parts.peers.settle(program, reservation, 0, core::monotonicNow());
        }
    });
}

void Gateway::budgetKnown(FlowId id, BudgetAnswer answer)
{
    const auto& flow = *this->find(id);
    core::logInfo("budget_answered")
        .with("id", flow.call.id)
        .with("program", flow.call.program)
        .with("answer", text(answer))
        .with("tokens", flow.call.maximumOutputTokens)
        .with("home", flow.reservation && !flow.reservation->peer.empty() ? flow.reservation->peer : "self")
        .with("waited_ms", (core::monotonicNow() - flow.arrived).count() / 1'000);
    switch (answer) {
    case BudgetAnswer::Granted:
        this->find(id)->waitsForBudget = false;
        this->prepared(id);
        return;
    case BudgetAnswer::Exhausted:
        this->answer(id, { 402, core::ResultCode::BudgetExhausted, "budget_exhausted", {} });
        return;
    case BudgetAnswer::Held:
        this->answer(id, { 503, core::ResultCode::BudgetExhausted, "budget_held", retryAfterHeld });
        return;
    case BudgetAnswer::Unavailable:
        this->answer(id, { 503, core::ResultCode::StoreUnavailable, "budget_unknown", retryAfterStore });
        return;
    }
}

void Gateway::loadHistory(FlowId id)
{
    const auto& call = this->find(id)->call;
    this->parts.peers.load(call.program, call.previousTurn, core::monotonicNow(),
        [this, id](tl::expected<Chain, HistoryFailure> chain) { this->historyKnown(id, std::move(chain)); });
}

void Gateway::historyKnown(FlowId id, tl::expected<Chain, HistoryFailure> chain)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (!chain) {
        if (chain.error() == HistoryFailure::NotFound)
            this->answer(id, { 404, core::ResultCode::UnknownTurn, "no_such_turn", {} });
        else
            this->answer(id, { 503, core::ResultCode::StoreUnavailable, "history_unknown", retryAfterStore });
        return;
    }
    flow->chain = std::move(*chain);
    core::logInfo("history_loaded")
        .with("id", flow->call.id)
        .with("previous", flow->call.previousTurn)
        .with("turns", flow->chain.size())
        .with("waited_ms", (core::monotonicNow() - flow->arrived).count() / 1'000);
    std::size_t size = flow->call.body.size();
    for (const auto& turn : flow->chain)
        size += turn->input.size() + turn->output.size();
    flow->assembled.reserve(size);
    for (const auto& turn : flow->chain)
        flow->assembled.append(turn->input).append(turn->output);
    flow->assembled.append(flow->call.body);
    flow->hasAssembled = true;
    flow->waitsForHistory = false;
    this->prepared(id);
}

void Gateway::prepared(FlowId id)
{
    const auto* const flow = this->find(id);
    if (flow == nullptr || flow->waitsForBudget || flow->waitsForHistory || flow->attempts > 0)
        return;
    this->dispatch(id, core::monotonicNow());
}

Flow* Gateway::find(FlowId id)
{
    const auto found = this->flows.find(id);
    return found == this->flows.end() ? nullptr : &found->second;
}

} // namespace lagoontiller::gateway
