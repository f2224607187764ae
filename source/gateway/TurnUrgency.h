#pragma once

#include "core/Time.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief What a request states about the value of serving it soon.
struct TurnUrgencyRequest {
    /// \brief Priority of the account, 0 first; empty in a configuration without accounts.
    std::optional<int> accountPriority;
    /// \brief Priority of the route, 0 first.
    int routePriority = 0;
    /// \brief Time until the program should be finished; zero for a late one, empty if the caller states none.
    std::optional<core::Duration> programTime;

    [[nodiscard]] bool operator==(const TurnUrgencyRequest&) const = default;
};

/// \brief Urgency with which engines order their waiting requests, from 0 (first) to 9.
///
/// Pattern: a burst fills the queues of the engines, and programs end late. A late program loses little by waiting
/// further, while one that is still in time loses most of its value. Requests are ordered by account priority, then by
/// whether their program is late, then by route priority. Without accounts, programs that are soon due go before
/// others of their route.
[[nodiscard]] int turnUrgency(const TurnUrgencyRequest& request) noexcept;

} // namespace lagoontiller::gateway
