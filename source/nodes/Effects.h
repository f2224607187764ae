#pragma once

#include "core/Time.h"
#include "nodes/Member.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief A message to send. The state machines other than Membership name only the receiver and fill only the body;
/// `Membership::complete` adds address, sender and versions.
struct SendMessage {
    /// \brief Empty when only the address is known (a seed from settings).
    std::string node;
    std::string address;
    wire::Envelope envelope;
};

/// \brief A member was added (`before` is empty) or its record changed.
struct MemberChanged {
    std::optional<Member> before;
    Member after;
};

/// \brief A dead or left member was removed from memory.
struct MemberRemoved {
    std::string node;
};

/// \brief This node did not run for `gap`; its view is out of date until ViewRefreshed follows.
struct ViewStale {
    core::Duration pauseDuration;
};

/// \brief A whole member list was received after the start or after ViewStale, or nobody answered within 5 s.
struct ViewRefreshed { };

/// \brief Others held this node for suspect or dead; it raised its incarnation to `incarnation`.
struct SelfRefuted {
    std::uint64_t incarnation;
};

/// \brief A helper reached the member that did not answer this node's own probe: the link to it may be silent and is to
/// be opened anew (`Transport::reconnect`).
struct ReconnectPeer {
    std::string node;
    std::string address;
};

using MembershipEffect
    = std::variant<ReconnectPeer, SendMessage, MemberChanged, MemberRemoved, ViewStale, ViewRefreshed, SelfRefuted>;
using MembershipEffects = std::vector<MembershipEffect>;

} // namespace lagoontiller::nodes
