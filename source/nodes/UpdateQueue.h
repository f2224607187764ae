#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Names of the members whose records are still to be piggybacked, by ascending number of transmissions, then
/// newest first.
///
/// Newest first, because while hundreds of nodes join, a refutation must not be delayed behind their records until the
/// suspicion timeout expires.
class UpdateQueue {
public:
    /// \brief Queues the record of a member with a transmission count of 0; replaces an earlier entry of the member.
    void push(const std::string& node);
    void erase(const std::string& node);

    /// \brief Returns up to `count` names and counts one transmission for each. Names that reach `limit` transmissions
    /// are removed from the queue.
    [[nodiscard]] std::vector<std::string> take(std::size_t count, std::size_t limit);

    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    /// Number of transmissions, complement of the sequence number of the `push` call, name.
    using Entry = std::tuple<std::size_t, std::uint64_t, std::string>;

    std::map<std::string, Entry> entries;
    std::set<Entry> sortedEntries;
    std::uint64_t pushCount = 0;
};

/// \brief Returns the number of transmissions per update and node: 2 × ceil(ln(n + 1)). The SWIM analysis requires a
/// multiple of log(n).
[[nodiscard]] std::size_t retransmissionLimit(std::size_t members);

} // namespace lagoontiller::nodes
