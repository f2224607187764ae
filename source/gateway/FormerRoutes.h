#pragma once

#include "gateway/Types.h"

#include <deque>
#include <set>

namespace lagoontiller::gateway {

/// \brief Routes that newer configurations have changed or removed, for as long as streams that began under them can be
/// resumed.
class FormerRoutes {
public:
    /// \brief Records the routes of `previous` whose services differ in `next`.
    void replace(const Configuration& previous, const Configuration& next, core::TimePoint now);
    /// \brief Longest time-out of the route and of those that it replaced.
    [[nodiscard]] core::Duration longestTimeout(const Route& route, core::TimePoint now) const;
    /// \brief Whether calls of the route may have been sent to other services, or in other shares, within `window`.
    [[nodiscard]] bool changedWithin(const Route& route, core::Duration window, core::TimePoint now) const;
    /// \brief Services that a call with the key may have been sent to within `window`; without a key all services of
    /// the route.
    [[nodiscard]] std::set<std::string> servicesWithin(
        const Route& route, std::optional<std::uint64_t> key, core::Duration window, core::TimePoint now) const;

private:
    struct Former {
        Route route;
        core::TimePoint replacedAt {};
    };

    /// \brief In the order in which they were replaced.
    std::deque<Former> routes;
    /// \brief Routes that now have the same services and a shorter time-out, in the order in which they were replaced.
    std::deque<Former> slowerRoutes;
};

} // namespace lagoontiller::gateway
