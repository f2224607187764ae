#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Limit of one account over all nodes together.
struct QuotaLimit {
    /// \brief Calls per second.
    double ratePerSecond = 0;
    /// \brief Calls beyond the rate that may come at once.
    double burst = 0;
    [[nodiscard]] bool operator==(const QuotaLimit&) const = default;
};

/// \brief How far a window may exceed a limit; see `settings::QuotaBounds`.
struct QuotaTolerance {
    core::Duration window = std::chrono::seconds(5);
    double overshoot = 0.1;
    double slackCalls = 20;
    [[nodiscard]] bool operator==(const QuotaTolerance&) const = default;
};

struct QuotaRequest {
    std::string account;
    /// \brief Number of calls that want to run.
    std::uint32_t calls = 1;
    /// \brief Number of them that ask for the first time.
    std::uint32_t newCalls = 1;
    /// \brief The first of them is the first call of a program.
    bool startsProgram = false;
    /// \brief Further attempts of calls that were sent before. They need no permit, as the call may have run, but
    /// count.
    std::uint32_t furtherAttempts = 0;
    [[nodiscard]] bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
    std::uint32_t calls = 0;
    /// \brief If no call was granted, time after which one may be.
    core::Duration retryAfter {};
    [[nodiscard]] bool operator==(const QuotaGrant&) const = default;
};

/// \brief Calls of one account since the start of a coordinator.
struct QuotaUse {
    std::string account;
    std::uint64_t granted = 0;
    std::uint64_t starts = 0;
    /// \brief Calls per second that were asked for lately, granted or not.
    double demand = 0;
    /// \brief Level of the account's bucket.
    double level = 0;
    [[nodiscard]] bool operator==(const QuotaUse&) const = default;
};

/// \brief What ledgers tell each other.
struct QuotaReport {
    std::vector<QuotaUse> uses;
    /// \brief The levels are right, and accounts that are not listed have full buckets.
    bool settled = false;
    [[nodiscard]] bool operator==(const QuotaReport&) const = default;
};

/// \brief Grants the calls of accounts within their limits over all nodes, together with the ledgers of other zones.
///
/// Load: an account sends many times its limit through all nodes, or its callers move between zones. Failure: ledgers
/// stop, start empty, or lose contact with each other. Every ledger simulates the token bucket of the whole fleet:
/// its own grants count at once, those of others when their reports arrive. Between two reports a ledger grants only
/// its part, by its part of the recent demand, of half of the bucket. The use of a ledger that is silent is estimated
/// by its part of the rate. A ledger that knows no other one but should keeps to an equal part of the rate.
///
/// A program that starts is charged for the calls that programs of the account make on average, in a bucket of its
/// own: programs under way go before new ones, and a program that the rate cannot carry to its end does not begin.
class QuotaLedger {
public:
    explicit QuotaLedger(QuotaTolerance tolerance = {})
        : tolerance(tolerance)
    {
    }

    /// \brief `expectedOthers` is the number of other zones with ready nodes, `nodes` that of nodes in all zones.
    void setFleet(std::size_t expectedOthers, std::size_t nodes);
    /// \brief Grants nothing before `until` unless a settled ledger reports: other ledgers may exist that are not
    /// known.
    void waitForFleet(core::TimePoint until) noexcept { this->fleetKnownAt = until; }
    /// \brief Sets the limits in force; accounts without one are not limited.
    void setLimits(std::unordered_map<std::string, QuotaLimit> limits) { this->limits = std::move(limits); }
    [[nodiscard]] QuotaGrant take(const QuotaRequest& request, core::TimePoint now);
    /// \brief Returns the permit of a call that did not run.
    void giveBack(const std::string& account, std::uint32_t calls, core::TimePoint now);
    /// \brief Starts the next interval; call every `reportInterval`.
    void tick(core::TimePoint now);
    /// \brief Use of all accounts that were used lately.
    [[nodiscard]] QuotaReport report(core::TimePoint now);
    /// \brief Applies the report of the ledger of another zone, which `source` names uniquely over restarts. It
    /// replaces a ledger of that zone that is silent.
    void merge(const std::string& source, const std::string& zone, const QuotaReport& report, core::TimePoint now);
    [[nodiscard]] bool isIdle() const noexcept { return this->accounts.empty(); }
    /// \brief Time of the last report of a ledger; empty if it is unknown.
    [[nodiscard]] std::optional<core::TimePoint> heardAt(const std::string& source) const;

    /// \brief Interval of the reports between ledgers.
    static constexpr core::Duration reportInterval = std::chrono::milliseconds(100);

private:
    struct Account {
        core::TimePoint advancedAt {};
        /// \brief The level was taken over from another ledger.
        bool levelTakenOver = false;
        /// \brief Level of the fleet's bucket in calls; negative after grants that could not know of each other.
        double level = 0;
        /// \brief Level of the bucket for programs that start, in calls that they will make.
        double startLevel = 0;
        /// \brief Calls granted since the last tick.
        double grantedInInterval = 0;
        /// \brief Part of the rate for this ledger while all ledgers report; kept while others are silent.
        double part = 0;
        /// \brief Level of the bucket of this part, which counts alone while other ledgers are silent.
        double partLevel = 0;
        QuotaUse own;
        /// \brief Decaying numbers of calls that were asked for here and of starts, for the mean number of calls per
        /// program.
        double recentCalls = 0;
        double recentStarts = 0;
        /// \brief That mean, which follows slowly: calls come later than the starts of their programs.
        double callsPerProgram = 0;
        core::TimePoint lastUsedAt {};
        /// \brief Last reported use of each other ledger.
        std::map<std::string, QuotaUse> others;
    };
    struct Source {
        std::string zone;
        core::TimePoint heardAt {};
    };

    /// \brief Starts anew with empty buckets if the last tick is long ago: grants of others were missed.
    void activate(core::TimePoint now);
    [[nodiscard]] bool isSettled(core::TimePoint now) const;
    /// \brief Takes over the levels of a ledger that has followed the others for longer.
    void takeOverLevels(const QuotaReport& report, core::TimePoint now);
    [[nodiscard]] Account& find(const std::string& name, const QuotaLimit& limit, core::TimePoint now);
    void advance(Account& account, const QuotaLimit& limit, core::TimePoint now) const;
    /// \brief Subtracts calls that may be sent, or were.
    static void count(Account& account, double calls);
    /// \brief Calls that may be granted now.
    [[nodiscard]] double available(const Account& account, const QuotaLimit& limit) const;
    [[nodiscard]] QuotaLimit limitOf(const std::string& name) const;
    /// \brief Calls by which the bucket may be larger than the burst.
    [[nodiscard]] double tolerated(const QuotaLimit& limit) const;
    [[nodiscard]] double capacity(const QuotaLimit& limit) const;
    [[nodiscard]] double startCapacity(const QuotaLimit& limit) const;
    /// \brief Part of the account's rate for a ledger with the demand, from 0 to 1.
    [[nodiscard]] double partOf(const Account& account, double demand) const;
    /// \brief Part for this ledger; that of one node while it knows no other ledger although there are other zones.
    [[nodiscard]] double ownPart(const Account& account) const;
    [[nodiscard]] bool hasSilentSource(core::TimePoint now) const;
    [[nodiscard]] static double meanCallsPerProgram(const Account& account);
    [[nodiscard]] bool isIsolated() const noexcept { return this->sources.empty() && this->expectedOthers > 0; }

    QuotaTolerance tolerance;
    std::size_t expectedOthers = 0;
    std::size_t nodes = 1;
    std::unordered_map<std::string, QuotaLimit> limits;
    std::unordered_map<std::string, Account> accounts;
    std::map<std::string, Source> sources;
    /// \brief Time since which this ledger has followed the others without a gap.
    core::TimePoint activeSince {};
    /// \brief A settled ledger has reported since then.
    bool levelsTakenOver = false;
    core::TimePoint tickedAt {};
    core::TimePoint fleetKnownAt {};
};

} // namespace lagoontiller::gateway
