#include "policy/FairShare.h"

#include <algorithm>
#include <numeric>

namespace lagoontiller::policy {

std::vector<double> weightedMaxMin(double capacity, std::span<const Demand> demands)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto saturatesEarlier = [demands](std::size_t a, std::size_t b) {
        return demands[a].amount * demands[b].weight < demands[b].amount * demands[a].weight;
    };
    std::sort(order.begin(), order.end(), saturatesEarlier);
    double weightLeft = 0;
    for (const Demand& demand : demands) {
        weightLeft += demand.weight;
    }
    std::vector<double> result(demands.size());
    for (const std::size_t index : order) {
        const Demand& demand = demands[index];
        const double share = weightLeft > 0 ? capacity * demand.weight / weightLeft : 0;
        result[index] = std::min(demand.amount, share);
        capacity -= result[index];
        weightLeft -= demand.weight;
    }
    return result;
}

} // namespace lagoontiller::policy
