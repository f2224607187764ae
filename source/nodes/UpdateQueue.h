#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Names of members whose records are still to be piggybacked, least transmitted first.
class UpdateQueue {
public:
    /// \brief Queues the member's record anew: its transmission count starts at 0.
    void push(const std::string& node);
    void erase(const std::string& node);

    /// \brief Takes up to `count` names and counts one transmission for each; those at `limit` leave the queue.
    [[nodiscard]] std::vector<std::string> take(std::size_t count, std::size_t limit);

    [[nodiscard]] std::size_t size() const noexcept { return this->counts.size(); }

private:
    std::map<std::string, std::size_t> counts;
    std::set<std::pair<std::size_t, std::string>> ordered;
};

/// \brief Transmissions per update and node: 2 × ceil(ln(n + 1)). SWIM's proof needs a multiple of log(n).
[[nodiscard]] std::size_t retransmissionLimit(std::size_t members);

} // namespace lagoontiller::nodes
