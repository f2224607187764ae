#pragma once

#include <span>
#include <vector>

namespace lagoontiller::policy {

/// \brief One party of a weighted max-min division.
struct Demand {
    double amount = 0;
    double weight = 1;
};

/// \brief Divides `capacity` by weighted max-min fairness: no party gets more than it demands, and what some leave goes
/// to the others in proportion to their weights. The sum is the lesser of capacity and total demand.
[[nodiscard]] std::vector<double> weightedMaxMin(double capacity, std::span<const Demand> demands);

} // namespace lagoontiller::policy
