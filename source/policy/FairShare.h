#pragma once

#include <span>
#include <vector>

namespace lagoontiller::policy {

/// \brief Demand of one claimant in a weighted max-min division.
struct Demand {
    double amount = 0;
    double weight = 1;
};

/// \brief Divides `capacity` by weighted max-min fairness and returns the allocations in the order of `demands`.
///
/// No claimant is allocated more than its demand, and the capacity that some claimants do not need is divided among the
/// others in proportion to their weights. The allocations add up to the lesser of the capacity and the total demand.
[[nodiscard]] std::vector<double> weightedMaxMin(double capacity, std::span<const Demand> demands);

} // namespace lagoontiller::policy
