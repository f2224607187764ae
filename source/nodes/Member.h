#pragma once

#include "core/Time.h"
#include "proto/nodes.pb.h"

#include <cstdint>
#include <string>

namespace lagoontiller::nodes {

/// \brief Membership record of one node. The fields correspond to those of `wire::MemberUpdate`.
struct Member {
    std::string node;
    /// \brief ip:port of the node's ZeroMQ socket.
    std::string address;
    /// \brief ip:port at which callers connect.
    std::string callerAddress;
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;
    wire::MemberState state = wire::ALIVE;
    bool leaving = false;
    std::uint64_t documentVersion = 0;

    [[nodiscard]] bool operator==(const Member&) const = default;
};

/// \brief Accepted incarnations are lower than this, so that they can be raised without overflow.
constexpr std::uint64_t maxIncarnation = std::uint64_t { 1 } << 62;

/// \brief Longest accepted name, address, zone or region.
constexpr std::size_t maxNameBytes = 256;

/// \brief Whether `candidate` replaces `held`: the higher incarnation wins, then the state in the order left, dead,
/// suspect, alive.
///
/// The other fields break ties, so that all nodes converge on the same record in whatever order the updates arrive. The
/// document version is not compared.
[[nodiscard]] bool supersedes(const Member& candidate, const Member& held);

/// \brief Merges two records of one node into the one that supersedes the other, with the higher document version of
/// both. The operation is commutative, associative and idempotent.
[[nodiscard]] Member merge(const Member& left, const Member& right);

/// \brief Whether an update has a name, an address, a known state, an incarnation below maxIncarnation, and no text
/// longer than maxNameBytes.
[[nodiscard]] bool isValid(const wire::MemberUpdate& update);

[[nodiscard]] Member fromWire(const wire::MemberUpdate& update);
void toWire(const Member& member, wire::MemberUpdate& update);

} // namespace lagoontiller::nodes
