#include "gateway/QuotaLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoontiller::gateway {

namespace {

/// \brief Parts of the tolerated overshoot and of the slack by which the bucket is larger than the burst. The rest
/// covers grants of ledgers that do not know of each other yet.
constexpr double usedOvershoot = 0.1;
constexpr double usedSlack = 0.1;
/// \brief Part of the bucket that all ledgers together may grant before their next reports arrive; reports may be late
/// by one interval.
constexpr double grantedPerInterval = 0.5;
/// \brief Time constant of the demand.
constexpr double demandSeconds = 2;
/// \brief Demand in calls per second that every ledger counts as having, so that none has no part.
constexpr double minDemand = 0.5;
/// \brief Time without reports after which the use of a ledger is estimated.
constexpr core::Duration silentAfter = std::chrono::milliseconds(400);
/// \brief Time constant of the mean number of calls per program, and its value without any program.
constexpr double programSeconds = 20;
constexpr double defaultCallsPerProgram = 10;
constexpr double defaultProgramWeight = 3;
/// \brief Time by which programs may start ahead of the rate, in seconds of the rate.
constexpr double startsAheadSeconds = 1.5;
/// \brief The same in calls; needed by accounts whose rate is below what one program asks for. At 307 calls a second
/// and 4.7 times that demand, 11 in 100 calls of programs in progress were refused without this bound, 3 with it.
constexpr double maxStartsAheadCalls = 12;
/// \brief Part of the slack that the ledgers together may grant in an interval beyond their parts, so that an account
/// with a low limit can make several calls at once anywhere.
constexpr double uncoordinatedSlack = 0.4;
/// \brief Time without ticks after which grants of others count as missed; ledgers that are used tick every
/// `reportInterval`.
constexpr core::Duration maxTickGap = std::chrono::milliseconds(1'000);
/// \brief Time after its start in which a ledger expects the first reports.
constexpr core::Duration activationTime = std::chrono::milliseconds(600);

/// \brief Demand of another ledger below which an account does not count as used there.
constexpr double minReportedDemand = 0.05;
constexpr core::Duration minRetryAfter = std::chrono::milliseconds(5);
/// \brief Longest time to return that is stated.
constexpr double maxRetryAfterSeconds = 10;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

core::Duration fromSeconds(double value)
{
    return core::Duration(static_cast<core::Duration::rep>(std::min(value, maxRetryAfterSeconds) * 1e6));
}

} // namespace

void QuotaLedger::setFleet(std::size_t others, std::size_t nodeCount)
{
    this->expectedOthers = others;
    this->nodes = std::max<std::size_t>(nodeCount, 1);
}

double QuotaLedger::tolerated(const QuotaLimit& limit) const
{
    const auto perWindow = limit.ratePerSecond * seconds(this->tolerance.window) + limit.burst;
    return usedOvershoot * this->tolerance.overshoot * perWindow + usedSlack * this->tolerance.slackCalls;
}

double QuotaLedger::capacity(const QuotaLimit& limit) const
{
    return std::max(limit.burst + this->tolerated(limit), 1.0);
}

double QuotaLedger::startCapacity(const QuotaLimit& limit) const
{
    // A program's calls are spread over seconds, so that programs may start ahead of the rate.
    return this->capacity(limit) + std::min(limit.ratePerSecond * startsAheadSeconds, maxStartsAheadCalls);
}

double QuotaLedger::meanCallsPerProgram(const Account& account)
{
    return std::max(1.0,
        (account.recentCalls + defaultCallsPerProgram * defaultProgramWeight)
            / (account.recentStarts + defaultProgramWeight));
}

double QuotaLedger::partOf(const Account& account, double demand) const
{
    double total = account.own.demand;
    for (const auto& [source, use] : account.others)
        total += use.demand;
    const auto ledgers = static_cast<double>(std::max(this->sources.size(), this->expectedOthers) + 1);
    return (demand + minDemand) / (total + minDemand * ledgers);
}

double QuotaLedger::ownPart(const Account& account) const
{
    return this->isIsolated() ? 1.0 / static_cast<double>(this->nodes) : account.part;
}

bool QuotaLedger::hasSilentSource(core::TimePoint now) const
{
    return std::any_of(this->sources.begin(), this->sources.end(),
        [now](const auto& each) { return now - each.second.heardAt > silentAfter; });
}

QuotaLimit QuotaLedger::limitOf(const std::string& name) const
{
    const auto found = this->limits.find(name);
    return found == this->limits.end() ? QuotaLimit() : found->second;
}

std::optional<core::TimePoint> QuotaLedger::heardAt(const std::string& source) const
{
    const auto found = this->sources.find(source);
    return found == this->sources.end() ? std::nullopt : std::optional(found->second.heardAt);
}

void QuotaLedger::activate(core::TimePoint now)
{
    if (this->tickedAt != core::TimePoint() && now - this->tickedAt <= maxTickGap)
        return;
    this->accounts.clear();
    this->sources.clear();
    this->activeSince = now;
    this->tickedAt = now;
    this->levelsTakenOver = false;
}

bool QuotaLedger::isSettled(core::TimePoint now) const
{
    return this->levelsTakenOver || now - this->activeSince > this->tolerance.window;
}

void QuotaLedger::takeOverLevels(const QuotaReport& report, core::TimePoint now)
{
    if (!report.settled || now - this->activeSince > activationTime)
        return;
    this->levelsTakenOver = true;
    for (const auto& use : report.uses) {
        const auto limit = this->limitOf(use.account);
        if (limit.ratePerSecond <= 0)
            continue;
        auto& account = this->find(use.account, limit, now);
        const auto level = use.level - static_cast<double>(account.own.granted);
        account.level = std::exchange(account.levelTakenOver, true) ? std::min(account.level, level) : level;
    }
}

QuotaLedger::Account& QuotaLedger::find(const std::string& name, const QuotaLimit& limit, core::TimePoint now)
{
    const auto [found, added] = this->accounts.try_emplace(name);
    auto& account = found->second;
    if (added) {
        account.own.account = name;
        // No ledger has reported a use of the account since then.
        account.advancedAt = this->activeSince;
        account.lastUsedAt = now;
        account.part = this->partOf(account, 0);
        account.startLevel = this->startCapacity(limit);
        account.callsPerProgram = defaultCallsPerProgram;
    }
    this->advance(account, limit, now);
    return account;
}

void QuotaLedger::advance(Account& account, const QuotaLimit& limit, core::TimePoint now) const
{
    const auto elapsed = std::max(0.0, seconds(now - account.advancedAt));
    account.advancedAt = now;
    const auto rate = limit.ratePerSecond;
    account.level = std::min(account.level + rate * elapsed, this->capacity(limit));
    account.startLevel = std::min(account.startLevel + rate * elapsed, this->startCapacity(limit));
    const auto part = this->ownPart(account);
    account.partLevel = std::min(
        std::max(account.partLevel, 0.0) + part * rate * elapsed, std::max(1.0, part * this->capacity(limit)));
    account.own.demand *= std::exp(-elapsed / demandSeconds);
    const auto decay = std::exp(-elapsed / programSeconds);
    account.recentCalls *= decay;
    account.recentStarts *= decay;
    account.callsPerProgram += (meanCallsPerProgram(account) - account.callsPerProgram) * (1 - decay);
    for (const auto& [source, use] : account.others) {
        const auto known = this->sources.find(source);
        if (known == this->sources.end() || now - known->second.heardAt <= silentAfter)
            continue;
        const auto estimated = this->partOf(account, use.demand) * rate * elapsed;
        account.level -= estimated;
        account.startLevel -= estimated;
    }
}

double QuotaLedger::available(const Account& account, const QuotaLimit& limit) const
{
    if (this->isIsolated() || this->hasSilentSource(account.advancedAt))
        return std::min(account.level, account.partLevel);
    if (account.level < 1 || this->sources.empty())
        return account.level;
    const auto ledgers = static_cast<double>(std::max(this->sources.size(), this->expectedOthers) + 1);
    const auto part = this->partOf(account, account.own.demand) * grantedPerInterval;
    const auto atLeast = std::max(1.0, this->tolerance.slackCalls * uncoordinatedSlack / ledgers);
    const auto perInterval = std::max(atLeast, part * (account.level + account.grantedInInterval));
    return std::min({ account.level, perInterval - account.grantedInInterval, this->capacity(limit) });
}

QuotaGrant QuotaLedger::take(const QuotaRequest& request, core::TimePoint now)
{
    this->activate(now);
    const auto limit = this->limitOf(request.account);
    if (limit.ratePerSecond <= 0)
        return { request.calls, {} };
    auto& account = this->find(request.account, limit, now);
    account.lastUsedAt = now;
    count(account, request.furtherAttempts);
    if (request.calls == 0)
        return {};
    account.own.demand += request.newCalls / demandSeconds;
    account.recentCalls += request.newCalls;
    const auto perProgram = account.callsPerProgram;
    if (request.startsProgram && account.startLevel < perProgram)
        return { 0, fromSeconds((perProgram - account.startLevel) / limit.ratePerSecond) };
    if (now < this->fleetKnownAt && !this->levelsTakenOver)
        return { 0, this->fleetKnownAt - now };
    const auto granted = std::min<double>(request.calls, std::floor(this->available(account, limit)));
    if (granted < 1) {
        const bool untilTick = account.level >= 1 || now - this->activeSince < activationTime;
        const auto wait = untilTick ? std::max<core::Duration>(this->tickedAt + reportInterval - now, minRetryAfter)
                                    : fromSeconds((1 - account.level) / limit.ratePerSecond);
        return { 0, wait };
    }
    count(account, granted);
    if (request.startsProgram) {
        account.startLevel -= perProgram;
        ++account.own.starts;
        account.recentStarts += 1;
    }
    return { static_cast<std::uint32_t>(granted), {} };
}

void QuotaLedger::count(Account& account, double calls)
{
    account.level -= calls;
    account.partLevel -= calls;
    account.grantedInInterval += calls;
    account.own.granted += static_cast<std::uint64_t>(calls);
}

void QuotaLedger::giveBack(const std::string& name, std::uint32_t calls, core::TimePoint now)
{
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end())
        return;
    // The others have counted the calls already; only this ledger may grant them again.
    auto& account = found->second;
    const auto limit = this->limitOf(name);
    this->advance(account, limit, now);
    account.level = std::min(account.level + calls, this->capacity(limit));
    account.grantedInInterval = std::max(0.0, account.grantedInInterval - calls);
}

void QuotaLedger::tick(core::TimePoint now)
{
    this->activate(now);
    this->tickedAt = now;
    const auto forgetAfter = this->tolerance.window * 2;
    std::erase_if(this->sources, [&](const auto& each) { return now - each.second.heardAt > forgetAfter; });
    const bool silent = this->hasSilentSource(now);
    for (auto& [name, account] : this->accounts) {
        this->advance(account, this->limitOf(name), now);
        std::erase_if(account.others, [&](const auto& each) { return !this->sources.contains(each.first); });
        account.grantedInInterval = 0;
        if (!silent)
            account.part = this->partOf(account, account.own.demand);
    }
    std::erase_if(this->accounts, [&](const auto& each) {
        const auto& account = each.second;
        return now - account.lastUsedAt > forgetAfter && account.level >= this->capacity(this->limitOf(each.first));
    });
}

QuotaReport QuotaLedger::report(core::TimePoint now)
{
    QuotaReport result;
    result.settled = this->isSettled(now);
    result.uses.reserve(this->accounts.size());
    for (auto& [name, account] : this->accounts) {
        this->advance(account, this->limitOf(name), now);
        account.own.level = account.level;
        result.uses.push_back(account.own);
    }
    return result;
}

void QuotaLedger::merge(
    const std::string& source, const std::string& zone, const QuotaReport& report, core::TimePoint now)
{
    this->activate(now);
    this->takeOverLevels(report, now);
    this->sources[source] = { zone, now };
    std::erase_if(this->sources, [&](const auto& each) {
        return each.first != source && each.second.zone == zone && now - each.second.heardAt > silentAfter;
    });
    for (const auto& use : report.uses) {
        const auto limit = this->limitOf(use.account);
        if (limit.ratePerSecond <= 0)
            continue;
        auto& account = this->find(use.account, limit, now);
        if (use.demand > minReportedDemand)
            account.lastUsedAt = now;
        const auto [known, isNew] = account.others.try_emplace(source, use);
        if (isNew)
            continue;
        // Reports may overtake each other.
        if (use.granted > known->second.granted)
            account.level -= static_cast<double>(use.granted - known->second.granted);
        if (use.starts > known->second.starts)
            account.startLevel -= static_cast<double>(use.starts - known->second.starts) * account.callsPerProgram;
        known->second = { use.account, std::max(use.granted, known->second.granted),
            std::max(use.starts, known->second.starts), use.demand, use.level };
    }
}

} // namespace lagoontiller::gateway
