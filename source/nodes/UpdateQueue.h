#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Names of members whose records are still to be piggybacked, least transmitted first, then newest first.
///
/// While hundreds of nodes join, a refutation must not wait behind their records until its suspicion ends.
class UpdateQueue {
public:
    /// \brief Queues the member's record anew: its transmission count starts at 0.
    void push(const std::string& node);
    void erase(const std::string& node);

    /// \brief Takes up to `count` names and counts one transmission for each; those at `limit` leave the queue.
    [[nodiscard]] std::vector<std::string> take(std::size_t count, std::size_t limit);

    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    /// Transmissions, complement of the order of `push`, name.
    using Entry = std::tuple<std::size_t, std::uint64_t, std::string>;

    std::map<std::string, Entry> entries;
    std::set<Entry> sortedEntries;
    std::uint64_t pushCount = 0;
};

/// \brief Transmissions per update and node: 2 × ceil(ln(n + 1)). SWIM's proof needs a multiple of log(n).
[[nodiscard]] std::size_t retransmissionLimit(std::size_t members);

} // namespace lagoontiller::nodes
