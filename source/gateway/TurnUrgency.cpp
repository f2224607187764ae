#include "gateway/TurnUrgency.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

constexpr int lowestUrgency = 9;
/// \brief Urgencies of an account priority: first route priority, other routes, late programs. Leaves room for three
/// account priorities; further ones count as the third.
constexpr int urgenciesPerAccountPriority = 3;
constexpr int lowestAccountPriority = 2;
/// \brief Urgencies of a route priority without accounts: programs that are soon due, others.
constexpr int urgenciesPerRoutePriority = 2;
constexpr int lowestRoutePriority = 2;
/// \brief First urgency of late programs without accounts, below all others.
constexpr int firstLateUrgency = (lowestRoutePriority + 1) * urgenciesPerRoutePriority;
/// \brief A turn takes longer than this on an idle engine (first token 40 ms, about 70 ms on the way), so that its
/// program ends late.
constexpr core::Duration minTurnTime = std::chrono::milliseconds(100);
/// \brief Programs with less time left are soon due.
constexpr core::Duration soonDue = std::chrono::seconds(2);

} // namespace

int turnUrgency(const TurnUrgencyRequest& request) noexcept
{
    const bool isLate = request.programTime && *request.programTime < minTurnTime;
    const auto routePriority = std::clamp(request.routePriority, 0, lowestRoutePriority);
    if (request.accountPriority) {
        const auto first = std::clamp(*request.accountPriority, 0, lowestAccountPriority) * urgenciesPerAccountPriority;
        if (isLate)
            return first + urgenciesPerAccountPriority - 1;
        return first + std::min(routePriority, 1);
    }
    if (isLate)
        return std::min(firstLateUrgency + routePriority, lowestUrgency);
    const bool isSoonDue = request.programTime && *request.programTime < soonDue;
    return routePriority * urgenciesPerRoutePriority + (isSoonDue ? 0 : 1);
}

} // namespace lagoontiller::gateway
