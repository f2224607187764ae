#include "transport/ConnectionMemory.h"

#include <algorithm>

namespace lagoontiller::transport {

MemoryDecision ConnectionMemory::holdIncomplete(ConnectionId connection, std::size_t bytes, core::TimePoint now)
{
    const auto found = this->holders.find(connection);
    const auto held = found == this->holders.end() ? 0 : found->second.bytes;
    auto others = this->total - held;
    std::vector<std::pair<core::TimePoint, ConnectionId>> candidates;
    if (bytes > held && !this->fits(others, bytes)) {
        for (const auto& [id, holder] : this->holders) {
            if (id != connection && holder.incomplete && now - holder.progressedAt >= this->limits.stallTime)
                candidates.emplace_back(holder.progressedAt, id);
        }
        std::sort(candidates.begin(), candidates.end());
    }
    MemoryDecision decision { true, {} };
    for (const auto& [progressedAt, id] : candidates) {
        if (this->fits(others, bytes))
            break;
        others -= this->holders.at(id).bytes;
        decision.stalled.push_back(id);
    }
    // Nobody gives way for a request that does not fit even then.
    if (bytes > held && !this->fits(others, bytes))
        return {};
    for (const auto id : decision.stalled)
        this->release(id);
    this->holders[connection] = { bytes, true, now };
    this->total = others + bytes;
    return decision;
}

void ConnectionMemory::complete(ConnectionId connection)
{
    this->holders[connection].incomplete = false;
}

void ConnectionMemory::add(ConnectionId connection, std::size_t bytes)
{
    const auto found = this->holders.find(connection);
    if (found == this->holders.end())
        return;
    found->second.bytes += bytes;
    this->total += bytes;
}

bool ConnectionMemory::tryAdd(ConnectionId connection, std::size_t bytes)
{
    if (this->total + bytes > this->limits.totalBytes)
        return false;
    this->add(connection, bytes);
    return true;
}

void ConnectionMemory::release(ConnectionId connection)
{
    const auto found = this->holders.find(connection);
    if (found == this->holders.end())
        return;
    this->total -= found->second.bytes;
    this->holders.erase(found);
}

std::optional<ConnectionId> ConnectionMemory::longestStalled(core::TimePoint now) const
{
    std::optional<std::pair<core::TimePoint, ConnectionId>> longest;
    for (const auto& [id, holder] : this->holders) {
        const std::pair candidate(holder.progressedAt, id);
        if (holder.incomplete && now - holder.progressedAt >= this->limits.stallTime
            && (!longest || candidate < *longest))
            longest = candidate;
    }
    return longest ? std::optional(longest->second) : std::nullopt;
}

std::size_t ConnectionMemory::heldBytes(ConnectionId connection) const
{
    const auto found = this->holders.find(connection);
    return found == this->holders.end() ? 0 : found->second.bytes;
}

bool ConnectionMemory::fits(std::size_t others, std::size_t bytes) const noexcept
{
    const auto limit
        = this->limits.totalBytes + (bytes <= smallRequestBytes ? this->limits.smallRequestReserveBytes : 0);
    return others == 0 || (bytes <= limit && others <= limit - bytes);
}

} // namespace lagoontiller::transport
