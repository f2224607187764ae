#include "nodes/Member.h"

#include <algorithm>
#include <tuple>

namespace lagoontiller::nodes {

namespace {

auto precedenceKey(const Member& member)
{
    return std::tie(member.incarnation, member.state, member.leaving, member.address, member.callerAddress, member.zone,
        member.region);
}

bool isWithinNameLimit(const std::string& text)
{
    return text.size() <= maxNameBytes;
}

} // namespace

bool supersedes(const Member& candidate, const Member& held)
{
    return precedenceKey(held) < precedenceKey(candidate);
}

Member merge(const Member& left, const Member& right)
{
    Member result = supersedes(right, left) ? right : left;
    result.documentVersion = std::max(left.documentVersion, right.documentVersion);
    return result;
}

bool isValid(const wire::MemberUpdate& update)
{
    return !update.node().empty() && !update.address().empty() && isWithinNameLimit(update.node())
        && isWithinNameLimit(update.address()) && isWithinNameLimit(update.caller_address())
        && isWithinNameLimit(update.zone()) && isWithinNameLimit(update.region())
        && update.incarnation() < maxIncarnation && wire::MemberState_IsValid(update.state());
}

Member fromWire(const wire::MemberUpdate& update)
{
    return Member { update.node(), update.address(), update.caller_address(), update.zone(), update.region(),
        update.incarnation(), update.state(), update.leaving(), update.document_version() };
}

void toWire(const Member& member, wire::MemberUpdate& update)
{
    update.set_node(member.node);
    update.set_address(member.address);
    update.set_caller_address(member.callerAddress);
    update.set_zone(member.zone);
    update.set_region(member.region);
    update.set_incarnation(member.incarnation);
    update.set_state(member.state);
    update.set_leaving(member.leaving);
    update.set_document_version(member.documentVersion);
}

} // namespace lagoontiller::nodes
