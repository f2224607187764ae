#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace lagoontiller::gateway {

/// \brief Divides what a service admits among the client accounts that ask for it.
///
/// Pattern: engines are congested because one account asks for several times its usual number of programs for some
/// seconds. If the same share of all programs were admitted, the others would lose most of theirs.
/// Division is max-min, weighted by the usual demand of each account: an account that asks for less than its fair part
/// is admitted in full, and those above share the rest. None is admitted less than a quarter as often as all.
class FairShare {
public:
    /// \brief Records that the account asks for one admission. Returns the share of its recent ones that may be
    /// admitted, from 0 to 1, if `admittedShare` of those of all accounts are.
    [[nodiscard]] double share(const std::string& account, double admittedShare, core::TimePoint now);
    /// \brief Number of accounts whose demand is remembered.
    [[nodiscard]] std::size_t size() const noexcept { return this->demands.size(); }

    /// \brief Bounds of the memory: the least demanding accounts and the oldest requests are forgotten first.
    static constexpr std::size_t maxAccounts = 512;
    static constexpr std::size_t maxRequests = 512;

private:
    struct Demand {
        /// \brief Requests within the window.
        std::uint32_t recent = 0;
        /// \brief Decaying number of requests.
        double usual = 0;
        core::TimePoint decayedAt {};
    };

    void forgetOldRequests(core::TimePoint now);
    void makeRoom(core::TimePoint now);
    static void decay(Demand& demand, core::TimePoint now);
    /// \brief Requests per window that the account usually makes, and one for the request at hand.
    [[nodiscard]] double weight(const Demand& demand, core::TimePoint now) const;
    [[nodiscard]] double divide(const Demand& account, double admittedShare, core::TimePoint now);

    std::unordered_map<std::string, Demand> demands;
    std::deque<std::pair<core::TimePoint, std::string>> requests;
    core::TimePoint startedAt {};
};

} // namespace lagoontiller::gateway
