#pragma once

#include "core/Time.h"
#include "nodes/Member.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief A message to send. The state machines other than Membership set only the receiver and the body;
/// `Membership::fillEnvelope` adds the address, the sender and the versions.
struct SendMessage {
    /// \brief Receiver. Empty if only its address is known (a seed from the settings).
    std::string node;
    std::string address;
    wire::Envelope envelope;
};

/// \brief A member was added (`before` is empty) or its record changed.
struct MemberChanged {
    std::optional<Member> before;
    Member after;
};

/// \brief A dead or left member was removed after `MembershipSettings::deadMemberRetention`.
struct MemberRemoved {
    std::string node;
};

/// \brief This process did not run for `pauseDuration`. Its member list may be out of date until ViewRefreshed follows.
struct ViewStale {
    core::Duration pauseDuration;
};

/// \brief A complete member list was received after the start or after ViewStale, or none arrived within 5 s, or there
/// is no node to ask.
struct ViewRefreshed { };

/// \brief Other nodes reported this node as suspect, dead or left; it refuted this by raising its incarnation to
/// `incarnation`.
struct SelfRefuted {
    std::uint64_t incarnation;
};

/// \brief A member answered an indirect probe but not the direct one. The connection to it may have failed without an
/// error and should be reopened with `Transport::reconnect`.
struct ReconnectPeer {
    std::string node;
    std::string address;
};

using MembershipEffect
    = std::variant<ReconnectPeer, SendMessage, MemberChanged, MemberRemoved, ViewStale, ViewRefreshed, SelfRefuted>;
using MembershipEffects = std::vector<MembershipEffect>;

} // namespace lagoontiller::nodes
