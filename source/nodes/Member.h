#pragma once

#include "core/Time.h"
#include "proto/nodes.pb.h"

#include <cstdint>
#include <string>

namespace lagoontiller::nodes {

/// \brief One node as the membership protocol describes it. Documented fields as in `wire::MemberUpdate`.
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

/// \brief Largest accepted incarnation. Leaves room for raising it without overflow.
constexpr std::uint64_t maxIncarnation = std::uint64_t { 1 } << 62;

/// \brief Longest accepted name, address, zone or region in bytes.
constexpr std::size_t maxNameBytes = 256;

/// \brief Whether `candidate` replaces `held`: by incarnation, then state (left, dead, suspect, alive).
///
/// Other fields break ties, so that all nodes settle on the same record in whatever order updates arrive. The document
/// version is not compared.
[[nodiscard]] bool supersedes(const Member& candidate, const Member& held);

/// \brief The record that results from two records of one node: commutative, associative and idempotent.
///
/// The document version is the higher of both.
[[nodiscard]] Member merge(const Member& left, const Member& right);

/// \brief Whether an update has a known state, a name, an address and fields within the limits above.
[[nodiscard]] bool isValid(const wire::MemberUpdate& update);

[[nodiscard]] Member fromWire(const wire::MemberUpdate& update);
void toWire(const Member& member, wire::MemberUpdate& update);

} // namespace lagoontiller::nodes
