#include "nodes/UpdateQueue.h"

#include <cmath>

namespace lagoontiller::nodes {

void UpdateQueue::push(const std::string& node)
{
    this->erase(node);
    this->counts.emplace(node, 0);
    this->ordered.emplace(0, node);
}

void UpdateQueue::erase(const std::string& node)
{
    const auto found = this->counts.find(node);
    if (found == this->counts.end())
        return;
    this->ordered.erase({ found->second, node });
    this->counts.erase(found);
}

std::vector<std::string> UpdateQueue::take(std::size_t count, std::size_t limit)
{
    std::vector<std::string> names;
    for (auto next = this->ordered.begin(); next != this->ordered.end() && names.size() < count; ++next)
        names.push_back(next->second);
    for (const auto& node : names) {
        const auto found = this->counts.find(node);
        this->ordered.erase({ found->second, node });
        if (++found->second >= limit)
            this->counts.erase(found);
        else
            this->ordered.emplace(found->second, node);
    }
    return names;
}

std::size_t retransmissionLimit(std::size_t members)
{
    return 2 * static_cast<std::size_t>(std::ceil(std::log(static_cast<double>(members) + 1)));
}

} // namespace lagoontiller::nodes
