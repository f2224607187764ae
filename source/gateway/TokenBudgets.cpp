#include "gateway/TokenBudgets.h"

#include "core/Hash.h"
#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief A share is raised by the tokens of one additional turn, limited to this fraction of the unassigned tokens.
/// Turns use a quarter of their maximum on average, so an additional turn lasts for several. The fraction leaves room
/// for turns at other nodes.
constexpr std::uint64_t reserveAheadDivisor = 3;
/// \brief Minimum time between two attempts to renew a row.
constexpr core::Duration renewalRetryInterval = std::chrono::seconds(4);

/// \brief The node key in a share id, which is KEY.NUMBER.
std::string nodeKeyOf(const std::string& shareId)
{
    return shareId.substr(0, shareId.rfind('.'));
}

} // namespace

TokenBudgets::TokenBudgets(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry,
    const TableParts& tableParts, std::string nodeKey, BudgetOptions options)
    : context(context)
    , store(store)
    , storeHealth(storeHealth)
    , rowExpiry(rowExpiry)
    , tableParts(tableParts)
    , nodeKey(std::move(nodeKey))
    , options(options)
    , random(core::hash64(this->nodeKey))
{
}

void TokenBudgets::reserve(const BudgetRequest& request, core::TimePoint now, AnswerHandler done)
{
    auto& program = this->findOrCreate(request.program);
    program.budget = request.budget;
    program.outagePart = request.outagePart;
    program.retention = request.retention;
    program.hold = request.hold;
    program.turnTokens = request.tokens;
    program.lastUsedAt = now;
    this->informOutageHolder(request.program, program);
    if (isCovered(program, request.tokens)) {
        program.used += request.tokens;
        ++program.turnsInProgress;
        done(BudgetAnswer::Granted);
        return;
    }
    program.pending.push_back({ request.tokens, std::move(done), request.mayRunInOutage });
    program.rowChecked = false;
    this->processPending(request.program);
}

std::optional<BudgetAnswer> TokenBudgets::localAnswer(const BudgetRequest& request, core::TimePoint now) const
{
    const auto found = this->programs.find(request.program);
    auto program = found == this->programs.end() ? Program() : found->second;
    program.budget = request.budget;
    program.outagePart = request.outagePart;
    if (isCovered(program, request.tokens))
        return BudgetAnswer::Granted;
    if (program.callInProgress || !program.pending.empty())
        return std::nullopt;
    if (isSpent(program, request.tokens))
        return spentAnswer(program);
    if (this->hasGivenUpStore(now))
        return BudgetAnswer::Unavailable;
    return std::nullopt;
}

bool TokenBudgets::isCovered(const Program& program, std::uint64_t tokens)
{
    return program.pending.empty() && program.used + tokens <= program.share;
}

bool TokenBudgets::isSpent(const Program& program, std::uint64_t tokens)
{
    return program.turnsInProgress == 0 && program.used + tokens > allottable(program);
}

bool TokenBudgets::hasGivenUpStore(core::TimePoint now) const
{
    return this->storeHealth.unresponsive() && this->storeHealth.outageDuration(now) > maxTransientOutage;
}

TokenBudgets::Program& TokenBudgets::findOrCreate(const std::string& id)
{
    auto& program = this->programs[id];
    if (program.shareId.empty())
        program.shareId = this->nodeKey + "." + std::to_string(++this->lastShareId);
    return program;
}

BudgetAnswer TokenBudgets::spentAnswer(const Program& program)
{
    return allottable(program) < program.budget ? BudgetAnswer::RowsExhausted : BudgetAnswer::Exhausted;
}

std::uint64_t TokenBudgets::allottable(const Program& program)
{
    return program.budget - (program.ownsOutagePart ? 0 : std::min(program.outagePart, program.budget));
}

void TokenBudgets::informOutageHolder(const std::string& id, Program& program)
{
    // While no row is known, the program may have begun in an outage: its outage part stays with the holder.
    if (program.outagePart == 0 || program.version == 0 || program.holderAskInProgress || !this->holders.outageHolder)
        return;
    const auto holder = this->holders.outageHolder(id);
    if (holder.empty() || holder == program.informedHolder)
        return;
    program.holderAskInProgress = true;
    this->holders.giveUpOutagePart(
        id, program.retention + program.hold, program.ownsOutagePart, [this, id, holder](bool givenUp) {
            const auto found = this->programs.find(id);
            if (found == this->programs.end())
                return;
            auto& asked = found->second;
            asked.holderAskInProgress = false;
            if (!givenUp)
                return;
            asked.informedHolder = holder;
            asked.ownsOutagePart = true;
            this->processPending(id);
        });
}

bool TokenBudgets::isUnused(const std::string& program) const
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() || (found->second.used == 0 && found->second.turnsInProgress == 0);
}

void TokenBudgets::settle(const std::string& id, std::uint64_t reserved, std::uint64_t used, core::TimePoint now)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.used -= reserved - std::min(used, reserved);
    program.lastUsedAt = now;
    if (program.turnsInProgress > 0)
        --program.turnsInProgress;
    this->grantPending(program);
}

void TokenBudgets::tick(core::TimePoint now, const std::function<bool(const std::string&)>& isHome)
{
    std::vector<std::string> idle;
    std::vector<std::string> expired;
    std::vector<std::string> renewable;
    for (const auto& [id, program] : this->programs) {
        if (program.callInProgress || !program.pending.empty())
            continue;
        if (needsRenewal(program)) {
            if (now - program.renewalAttemptedAt > renewalRetryInterval
                && this->storeHealth.outageDuration(now) == core::Duration::zero())
                renewable.push_back(id);
            continue;
        }
        if (program.turnsInProgress > 0)
            continue;
        const auto age = now - program.lastUsedAt;
        const bool unused
            = program.share > program.used && this->storeHealth.outageDuration(now) == core::Duration::zero();
        if (age > this->options.idleReturnDelay && unused && (sumOtherShares(program).tokens > 0 || !isHome(id)))
            idle.push_back(id);
        else if (age > program.retention + evictionMargin)
            expired.push_back(id);
    }
    for (const auto& id : idle)
        this->lowerShare(id);
    for (const auto& id : expired)
        this->programs.erase(id);
    for (const auto& id : renewable) {
        auto& program = this->programs[id];
        program.renewalAttemptedAt = now;
        const auto share = std::max(program.share, program.used);
        this->writeRow(id, program, share, std::min(share - program.used, maxAhead(program)), now);
    }
}

bool TokenBudgets::needsRenewal(const Program& program)
{
    return program.used > 0 && program.lastUsedAt - program.writtenAt > renewalAge;
}

void TokenBudgets::returnUnusedShares()
{
    std::vector<std::string> idle;
    for (const auto& [id, program] : this->programs) {
        if (holdsUnusedTokens(program))
            idle.push_back(id);
    }
    for (const auto& id : idle)
        this->lowerShare(id);
}

void TokenBudgets::returnUnusedShare(const std::string& id)
{
    const auto found = this->programs.find(id);
    if (found != this->programs.end() && holdsUnusedTokens(found->second))
        this->lowerShare(id);
}

bool TokenBudgets::holdsUnusedTokens(const Program& program)
{
    return program.turnsInProgress == 0 && !program.callInProgress && program.pending.empty()
        && program.share > program.used;
}

void TokenBudgets::lowerShare(const std::string& id)
{
    auto& program = this->programs[id];
    if (program.outcomeUnknown)
        this->readRow(id, program);
    else
        this->writeRow(id, program, program.used, 0, core::monotonicNow());
}

void TokenBudgets::grantPending(Program& program)
{
    while (!program.pending.empty() && program.used + program.pending.front().tokens <= program.share) {
        auto pending = std::move(program.pending.front());
        program.pending.erase(program.pending.begin());
        program.used += pending.tokens;
        ++program.turnsInProgress;
        asio::post(this->context, [done = std::move(pending.done)] { done(BudgetAnswer::Granted); });
    }
}

void TokenBudgets::processPending(const std::string& id)
{
    auto& program = this->programs[id];
    this->grantPending(program);
    if (program.callInProgress || program.pending.empty())
        return;
    // Tokens used by completed turns of this node are never returned, whatever the other nodes hold.
    if (isSpent(program, program.pending.front().tokens)) {
        core::logInfo("budget_exhausted")
            .with("program", id)
            .with("budget", program.budget)
            .with("own", program.used)
            .with("row_version", program.version);
        this->refusePending(program, spentAnswer(program));
        return;
    }
    // Heartbeats detect the recovery of the store; until then every call would wait for its time-out.
    if (this->hasGivenUpStore(core::monotonicNow())) {
        this->refusePending(program, BudgetAnswer::Unavailable);
        return;
    }
    if (this->canLeaveToOutagePart(program)) {
        this->refusePending(program, BudgetAnswer::Unavailable);
        return;
    }
    if (program.outcomeUnknown) {
        this->readRow(id, program);
        return;
    }
    const auto heldByOthers = sumOtherShares(program).tokens;
    std::uint64_t wanted = program.used;
    std::uint64_t covered = 0;
    for (const auto& pending : program.pending) {
        if (heldByOthers + wanted + pending.tokens > allottable(program))
            break;
        wanted += pending.tokens;
        ++covered;
    }
    if (covered == 0) {
        if (!program.rowChecked) {
            this->readRow(id, program);
            return;
        }
        if (this->releaseTokensOfDeadNodes(id, program))
            this->processPending(id);
        else
            this->refuseFirstPending(id, program);
        return;
    }
    const auto ahead = std::min(maxAhead(program), (allottable(program) - heldByOthers - wanted) / reserveAheadDivisor);
    this->writeRow(id, program, wanted + ahead, ahead, core::monotonicNow());
}

bool TokenBudgets::canLeaveToOutagePart(const Program& program) const
{
    return !program.pending.empty() && program.pending.front().mayRunInOutage && program.outagePart > 0
        && !program.ownsOutagePart && this->storeHealth.outageDuration(core::monotonicNow()) > core::Duration::zero();
}

void TokenBudgets::refuseFirstPending(const std::string& id, Program& program)
{
    // Live nodes return unused tokens soon; the budget is exhausted only if it is still insufficient then.
    auto& pending = program.pending.front();
    if (pending.rechecks < this->options.maxRechecks && this->askToReturn(id, program)) {
        ++pending.rechecks;
        program.rowChecked = false;
        this->processPendingAfter(id, this->options.recheckInterval);
        return;
    }
    const auto usedByOthers = this->usedByOthers(program);
    const bool spent = usedByOthers + program.used + pending.tokens > allottable(program);
    core::logInfo(spent ? "budget_exhausted" : "budget_held")
        .with("program", id)
        .with("budget", program.budget)
        .with("others", sumOtherShares(program).tokens)
        .with("others_used", usedByOthers)
        .with("own", program.used)
        .with("row_version", program.version);
    this->refusePending(program, spent ? spentAnswer(program) : BudgetAnswer::Held);
}

bool TokenBudgets::releaseTokensOfDeadNodes(const std::string& id, Program& program)
{
    bool released = false;
    for (auto& [node, share] : program.otherShares) {
        if (share.ahead == 0 || this->isAlive(node))
            continue;
        core::logInfo("tokens_released").with("program", id).with("share", node).with("tokens", share.ahead);
        share.tokens -= std::min(share.ahead, share.tokens);
        share.released += std::exchange(share.ahead, 0);
        released = true;
    }
    return released;
}

bool TokenBudgets::askToReturn(const std::string& id, const Program& program)
{
    bool held = false;
    for (const auto& [node, share] : program.otherShares) {
        if (share.tokens == 0 || !this->isAlive(node))
            continue;
        held = true;
        if (this->holders.askToReturn && program.pending.front().rechecks == 0)
            this->holders.askToReturn(nodeKeyOf(node), id);
    }
    return held;
}

std::uint64_t TokenBudgets::usedByOthers(const Program& program) const
{
    std::uint64_t total = 0;
    for (const auto& [node, share] : program.otherShares)
        total += this->isAlive(node) ? share.used : share.tokens;
    return total;
}

bool TokenBudgets::isAlive(const std::string& shareId) const
{
    return !this->holders.isAlive || this->holders.isAlive(nodeKeyOf(shareId));
}

std::uint64_t TokenBudgets::maxAhead(const Program& program)
{
    const auto others = sumOtherShares(program);
    return program.turnTokens - std::min(program.turnTokens, others.ahead + others.released);
}

void TokenBudgets::refusePending(Program& program, BudgetAnswer answer)
{
    auto pending = std::exchange(program.pending, {});
    for (auto& each : pending)
        asio::post(this->context, [done = std::move(each.done), answer] { done(answer); });
}

void TokenBudgets::processPendingAfter(const std::string& id, core::Duration delay)
{
    auto& program = this->programs[id];
    program.callInProgress = true;
    auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([this, id, timer](asio::error_code error) {
        const auto found = this->programs.find(id);
        if (error || found == this->programs.end())
            return;
        found->second.callInProgress = false;
        this->processPending(id);
    });
}

TokenBudgets::Share TokenBudgets::sumOtherShares(const Program& program)
{
    Share total;
    for (const auto& [node, share] : program.otherShares) {
        total.tokens += share.tokens;
        total.used += share.used;
        total.ahead += share.ahead;
        total.released += share.released;
    }
    return total;
}

} // namespace lagoontiller::gateway
