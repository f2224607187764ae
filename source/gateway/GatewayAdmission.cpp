#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "platform/CallerMessages.h"

#include <algorithm>
#include <array>

namespace lagoontiller::gateway {

namespace {

/// \brief An assembled body and its copy for the attempt.
constexpr std::size_t copiesPerAssembledBody = 2;
/// \brief Retry delay for callers during a store outage. Outages last seconds, and callers wait at most a third of
/// their remaining time.
constexpr core::Duration retryAfterStoreOutage = std::chrono::milliseconds(2'000);
/// \brief Retry delay for callers while other nodes hold unused tokens of the budget, which they return once the
/// program is idle there.
constexpr core::Duration retryAfterBudgetHeld = std::chrono::milliseconds(800);
/// \brief Retry delay for new programs while the engines are congested, and its random part.
constexpr core::Duration minRetryAfterCongestion = std::chrono::milliseconds(700);
constexpr core::Duration retryAfterCongestionSpread = std::chrono::milliseconds(600);
/// \brief Retry delay for callers while no configuration has been loaded yet.
constexpr core::Duration retryAfterStartup = std::chrono::milliseconds(500);

/// \brief Digest of the content and the caller of a request, equal when the caller sends the request again.
std::string requestDigest(const Call& call)
{
    const std::array<const std::string*, 4> identities { &call.program, &call.session, &call.affinity,
        &call.clientAddress };
    const auto known
        = std::find_if(identities.begin(), identities.end(), [](const auto* identity) { return !identity->empty(); });
    const auto caller = known == identities.end() ? std::string() : **known;
    return core::digestHex(call.scope + call.host + "\n" + call.target + "\n" + call.previousTurn + "\n" + call.body)
        + "/" + core::digestHex(caller);
}

std::string_view toString(BudgetAnswer answer) noexcept
{
    switch (answer) {
    case BudgetAnswer::Granted:
        return "granted";
    case BudgetAnswer::Exhausted:
        return "exhausted";
    case BudgetAnswer::Held:
        return "held";
    case BudgetAnswer::RowsExhausted:
        return "rows_exhausted";
    case BudgetAnswer::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace

Gateway::Gateway(
    GatewayDependencies dependencies, NodeLocation location, std::uint64_t seed, std::size_t maxResponseBytes)
    : dependencies(dependencies)
    , location(std::move(location))
    , random(seed)
    , responseMemory(maxResponseBytes)
{
}

void Gateway::configure(std::shared_ptr<const Configuration> next, core::TimePoint now)
{
    if (!this->configuration)
        this->configuredSince = now;
    else
        this->formerRoutes.replace(*this->configuration, *next, now);
    this->routes = RouteTable(next->routes);
    this->accounts = ClientAccounts(next->accounts);
    this->dependencies.quotaService.configure(next->accounts);
    this->services.clear();
    for (const auto& service : next->services)
        this->services.emplace(service.name, std::make_shared<const Service>(service));
    std::map<std::string, bool> resumable;
    for (const auto& route : next->routes) {
        for (const auto& each : route.services) {
            if (route.resumable)
                resumable[each.service] = this->resumableServices[each.service];
        }
    }
    this->resumableServices = std::move(resumable);
    this->configuration = std::move(next);
    // Streams that began before are known to this node only.
    for (const auto& [id, flow] : this->flows) {
        if (flow.responseStarted && flow.streamVersion
            && this->formerRoutes.changedWithin(*flow.route, core::Duration::zero(), now))
            this->noteStreamOrigin(flow, now);
    }
}

void Gateway::handleRequest(transport::ConnectionId connection, transport::Request&& request, core::TimePoint now)
{
    auto call = platform::decodeCall(std::move(request));
    Flow flow;
    flow.id = ++this->lastFlowId;
    flow.connection = connection;
    flow.arrivedAt = now;
    flow.deadline = core::TimePoint::max();
    if (!call) {
        const auto id = flow.id;
        this->flowByConnection[connection] = id;
        this->flows.emplace(id, std::move(flow));
        this->respond(id, { 400, core::ResultCode::InvalidField, call.error(), {} });
        return;
    }
    flow.call = std::move(*call);
    this->admit(std::move(flow), now);
}

void Gateway::admit(Flow&& newFlow, core::TimePoint now)
{
    const auto id = newFlow.id;
    this->flowByConnection[newFlow.connection] = id;
    auto& flow = this->flows.emplace(id, std::move(newFlow)).first->second;
    if (const auto refusal = this->examine(flow, now)) {
        if (refusal->code == core::ResultCode::NodeDraining)
            this->countStoppingCall("refused");
        this->respond(id, *refusal);
        return;
    }
    if (this->stopSchedule)
        this->recordAdmissionWhileStopping(flow, now);
    if (flow.route->keepsHistory && flow.call.previousTurn.empty() && !this->admitsNewProgram(flow, now)) {
        this->refuseNewProgram(id);
        return;
    }
    const bool history = flow.waitsForHistory;
    const bool resumes = flow.waitsForStreamVersion;

    if (flow.waitsForBudget)
        this->reserveBudget(id, now);
    if (history && this->find(id) != nullptr)
        this->loadHistory(id);
    if (resumes && this->find(id) != nullptr)
        this->findStreamOrigin(id);
    this->dispatchWhenPrepared(id);
}

std::optional<Gateway::LocalResponse> Gateway::examine(Flow& flow, core::TimePoint now) const
{
    if (!this->configuration)
        return this->stopSchedule
            ? stoppingResponse(flow)
            : LocalResponse { 503, core::ResultCode::NoDocument, "no_configuration", retryAfterStartup };
    flow.route = this->routes.find(flow.call.host, flow.call.path());
    if (!flow.route || flow.route->services.empty())
        return LocalResponse { 404, core::ResultCode::UnknownPath, "no_route", {} };
    if (const auto authorization = this->authenticate(flow); authorization != Authorization::Granted)
        return this->unauthorizedResponse(flow, authorization);
    flow.requestDigest = requestDigest(flow.call);
    if (this->dependencies.lossTracker.isIsolated(flow.requestDigest, now))
        return LocalResponse { 503, core::ResultCode::RequestIsolated, "request_isolated", {} };
    const auto key = core::hash64(placementId(flow.call).value_or(flow.call.scopedId()));
    const auto service = this->services.find(chooseService(*flow.route, key));
    if (service == this->services.end())
        return LocalResponse { 503, core::ResultCode::UnknownService, "no_service", retryAfterStartup };
    flow.service = service->second;
    const auto time = std::min(flow.call.deadline.value_or(flow.route->timeout), flow.route->timeout);
    flow.deadline = now + time;
    if (!this->canEndBeforeStop(flow))
        return stoppingResponse(flow);
    // A turn needs the whole answer, and other routes promise no resumption: their streams begin anew.
    if (flow.route->resumable && !flow.route->keepsHistory)
        flow.events = EventSequence(flow.call.lastEvent);
    flow.waitsForBudget
        = flow.route->kind == CallKind::Streaming && flow.call.tokenBudget.has_value() && !flow.call.program.empty();
    flow.waitsForHistory = flow.route->keepsHistory && !flow.call.previousTurn.empty();
    flow.waitsForStreamVersion = flow.events.last().has_value();
    return std::nullopt;
}

BudgetRequest Gateway::budgetRequest(const Flow& flow)
{
    BudgetRequest request;
    request.program = flow.call.program;
    request.budget = *flow.call.tokenBudget;
    request.tokens = std::max<std::uint32_t>(flow.call.maxOutputTokens, 1);
    request.retention = flow.route->retention;
    request.hold = flow.route->timeout;
    // A turn that must be durable before its response ends cannot be served while the store is away.
    request.mayRunInOutage = !flow.route->keepsHistory;
    return request;
}

void Gateway::reserveBudget(FlowId id, core::TimePoint now)
{
    const auto request = budgetRequest(*this->find(id));
    this->dependencies.peerService.reserve(
        request, now, [this, id, program = request.program](const Reservation& reservation) {
            const bool granted = reservation.answer == BudgetAnswer::Granted;
            if (auto* const waiting = this->find(id)) {
                if (granted)
                    waiting->reservation = reservation;
                this->handleBudgetAnswer(id, reservation.answer);
            } else if (granted) {
                this->dependencies.peerService.settle(program, reservation, 0, core::monotonicNow());
            }
        });
}

void Gateway::handleBudgetAnswer(FlowId id, BudgetAnswer answer)
{
    const auto& flow = *this->find(id);
    core::logInfo("budget_answered")
        .with("id", flow.call.id)
        .with("program", flow.call.program)
        .with("answer", toString(answer))
        .with("budget", flow.call.tokenBudget.value_or(0))
        .with("tokens", flow.call.maxOutputTokens)
        .with("home", flow.reservation && !flow.reservation->peer.empty() ? flow.reservation->peer : "self")
        .with("waited_ms", (core::monotonicNow() - flow.arrivedAt).count() / 1'000);
    if (answer == BudgetAnswer::Granted) {
        // Without history only the program's home can tell its first turn from later ones.
        if (!flow.route->keepsHistory && flow.reservation->firstTurn
            && !this->admitsNewProgram(flow, core::monotonicNow())) {
            this->refuseNewProgram(id);
            return;
        }
        this->find(id)->waitsForBudget = false;

        this->dispatchWhenPrepared(id);
        return;
    }
    this->respond(id, budgetResponse(answer));
}

Gateway::LocalResponse Gateway::budgetResponse(BudgetAnswer refusal)
{
    switch (refusal) {
    case BudgetAnswer::Exhausted:
        return { 402, core::ResultCode::BudgetExhausted, "budget_exhausted", {} };
    case BudgetAnswer::Held:
    case BudgetAnswer::RowsExhausted:
        return { 503, core::ResultCode::BudgetExhausted, "budget_held", retryAfterBudgetHeld };
    case BudgetAnswer::Granted:
    case BudgetAnswer::Unavailable:
        break;
    }
    return { 503, core::ResultCode::StoreUnavailable, "budget_unknown", retryAfterStoreOutage };
}

bool Gateway::isLimitedAsNewProgram(const Flow& flow)
{
    return flow.service->engine && !flow.call.program.empty();
}

bool Gateway::admitsNewProgram(const Flow& flow, core::TimePoint now)
{
    if (!isLimitedAsNewProgram(flow))
        return true;
    auto& limiter = this->newProgramLimiters[flow.service->name];
    const double draw = policy::uniform(this->random);
    if (!this->accounts.required())
        return limiter.admits(draw, now);
    return draw < newProgramShare(flow, limiter, this->programShares[flow.service->name], now);
}

double Gateway::newProgramShare(const Flow& flow, NewProgramLimiter& limiter, FairShare& shares, core::TimePoint now)
{
    // Public calls without a key share one part.
    const auto account = flow.account ? flow.account->name : std::string();
    return shares.share(account, limiter.share(now), now);
}

Gateway::LocalResponse Gateway::congestionResponse(double draw)
{
    // The spread keeps the refused programs from returning together.
    const auto spread = draw * static_cast<double>(retryAfterCongestionSpread.count());
    const auto retryAfter = minRetryAfterCongestion + core::Duration(static_cast<core::Duration::rep>(spread));
    return { 503, core::ResultCode::TooManyRequests, "engines_congested", retryAfter };
}

void Gateway::refuseNewProgram(FlowId id)
{
    this->respond(id, congestionResponse(policy::uniform(this->random)));
}

void Gateway::loadHistory(FlowId id)
{
    const auto& call = this->find(id)->call;
    this->dependencies.peerService.loadHistory(call.program, call.previousTurn, core::monotonicNow(),
        [this, id](tl::expected<Chain, HistoryFailure> chain) { this->handleHistory(id, std::move(chain)); });
}

void Gateway::handleHistory(FlowId id, tl::expected<Chain, HistoryFailure> chain)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (!chain) {
        this->respond(id, historyResponse(chain.error()));
        return;
    }
    flow->chain = std::move(*chain);
    core::logInfo("history_loaded")
        .with("id", flow->call.id)
        .with("previous", flow->call.previousTurn)
        .with("turns", flow->chain.size())
        .with("waited_ms", (core::monotonicNow() - flow->arrivedAt).count() / 1'000);
    std::size_t size = flow->call.body.size();
    for (const auto& turn : flow->chain)
        size += turn->input.size() + turn->output.size();
    flow->assembledBody.reserve(size);
    for (const auto& turn : flow->chain)
        flow->assembledBody.append(turn->input).append(turn->output);
    flow->assembledBody.append(flow->call.body);
    flow->hasAssembledBody = true;
    this->dependencies.callers.addRequestBytes(flow->connection, copiesPerAssembledBody * size);
    flow->waitsForHistory = false;
    this->dispatchWhenPrepared(id);
}

Gateway::LocalResponse Gateway::historyResponse(HistoryFailure failure)
{
    if (failure == HistoryFailure::NotFound)
        return { 404, core::ResultCode::UnknownTurn, "no_such_turn", {} };
    return { 503, core::ResultCode::StoreUnavailable, "history_unknown", retryAfterStoreOutage };
}

bool Gateway::lacksListedVersion(const Flow& flow) const
{
    return flow.route->resumable && !flow.streamVersion
        && this->dependencies.serviceVersions.listed(flow.service->name).empty();
}

void Gateway::dispatchWhenPrepared(FlowId id)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || flow->waitsForBudget || flow->waitsForHistory || flow->waitsForStreamVersion
        || flow->waitsForQuota || flow->attempts > 0 || flow->rateLimitWait)
        return;
    flow->waitsForListing = this->lacksListedVersion(*flow);
    if (flow->waitsForListing)
        return;
    // Asked for last, so that calls that wait for the store do not spend their permits together when it is back.
    if (flow->account && !flow->hasPermit) {
        this->requestPermit(id, core::monotonicNow());
        return;
    }
    this->dispatch(id, core::monotonicNow());
}

Flow* Gateway::find(FlowId id)
{
    const auto found = this->flows.find(id);
    return found == this->flows.end() ? nullptr : &found->second;
}

} // namespace lagoontiller::gateway
