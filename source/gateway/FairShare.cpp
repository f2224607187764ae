#include "gateway/FairShare.h"

#include "policy/FairShare.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoontiller::gateway {

namespace {

/// \brief Window of recent requests. Requests are counted in it rather than decayed: an account that has just asked
/// would otherwise always seem to demand more than those that asked before. FairShareTests at 1, 2, 3 and 4 s: a longer
/// window notices an excess later, a shorter one takes chance for demand.
constexpr core::Duration window = std::chrono::seconds(2);
/// \brief Time in which the usual demand decays to 1/e. Accounts exceed it for 6 to 8 s.
constexpr core::Duration usualDecay = std::chrono::seconds(120);
/// \brief An account's usual demand grows as if it asked for at most this multiple, so that an excess of some seconds
/// does not become usual.
constexpr double maxUsualGrowth = 1.25;
/// \brief Lowest admitted share of an account, as part of that of all accounts (work plan, "Fairness").
constexpr double minPart = 0.25;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double FairShare::share(const std::string& account, double admittedShare, core::TimePoint now)
{
    if (this->demands.empty())
        this->startedAt = now;
    this->forgetOldRequests(now);
    if (!this->demands.contains(account))
        this->makeRoom(now);
    auto& demand = this->demands[account];
    decay(demand, now);
    this->requests.emplace_back(now, account);
    ++demand.recent;
    demand.usual += std::min(1.0, maxUsualGrowth * this->weight(demand, now) / demand.recent);
    if (admittedShare >= 1)
        return 1;
    return this->divide(demand, admittedShare, now);
}

void FairShare::forgetOldRequests(core::TimePoint now)
{
    while (!this->requests.empty()
        && (this->requests.size() >= maxRequests || now - this->requests.front().first > window)) {
        --this->demands[this->requests.front().second].recent;
        this->requests.pop_front();
    }
}

void FairShare::makeRoom(core::TimePoint now)
{
    if (this->demands.size() < maxAccounts)
        return;
    auto least = this->demands.end();
    for (auto each = this->demands.begin(); each != this->demands.end(); ++each) {
        decay(each->second, now);
        if (each->second.recent == 0 && (least == this->demands.end() || each->second.usual < least->second.usual))
            least = each;
    }
    // Recent requests are fewer than accounts, so that one of them has none.
    this->demands.erase(least);
}

void FairShare::decay(Demand& demand, core::TimePoint now)
{
    demand.usual *= std::exp(-seconds(now - demand.decayedAt) / seconds(usualDecay));
    demand.decayedAt = now;
}

double FairShare::weight(const Demand& demand, core::TimePoint now) const
{
    // Shortly after the start, the number of requests covers less than the decay time.
    const double covered = seconds(usualDecay) * (1 - std::exp(-seconds(now - this->startedAt) / seconds(usualDecay)));
    return 1 + demand.usual * std::min(1.0, seconds(window) / std::max(covered, seconds(window)));
}

double FairShare::divide(const Demand& account, double admittedShare, core::TimePoint now)
{
    struct Claim {
        const Demand* demand = nullptr;
        double weight = 0;
    };
    std::vector<Claim> claims;
    double capacity = 0;
    for (auto& [name, demand] : this->demands) {
        if (demand.recent == 0)
            continue;
        decay(demand, now);
        claims.push_back({ &demand, this->weight(demand, now) });
        capacity += demand.recent * admittedShare;
    }
    // Accounts whose part is below the minimum get the minimum, and the others share what remains.
    const double minShare = minPart * admittedShare;
    for (;;) {
        std::vector<policy::Demand> amounts;
        amounts.reserve(claims.size());
        for (const auto& claim : claims)
            amounts.push_back({ static_cast<double>(claim.demand->recent), claim.weight });
        const auto parts = policy::weightedMaxMin(capacity, amounts);
        std::vector<Claim> others;
        for (std::size_t index = 0; index < claims.size(); ++index) {
            const auto* const demand = claims[index].demand;
            const double part = parts[index] / demand->recent;
            if (part >= minShare) {
                others.push_back(claims[index]);
                continue;
            }
            if (demand == &account)
                return minShare;
            capacity -= minShare * demand->recent;
        }
        if (others.size() == claims.size()) {
            const auto own = std::find_if(
                claims.begin(), claims.end(), [&account](const Claim& claim) { return claim.demand == &account; });
            return parts[static_cast<std::size_t>(own - claims.begin())] / account.recent;
        }
        claims = std::move(others);
    }
}

} // namespace lagoontiller::gateway
