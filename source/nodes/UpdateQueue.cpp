#include "nodes/UpdateQueue.h"

#include <cmath>

namespace lagoontiller::nodes {

void UpdateQueue::push(const std::string& node)
{
    this->erase(node);
    const auto [found, added] = this->entries.emplace(node, Entry { 0, ~this->pushCount++, node });
    this->sortedEntries.insert(found->second);
}

void UpdateQueue::erase(const std::string& node)
{
    const auto found = this->entries.find(node);
    if (found == this->entries.end())
        return;
    this->sortedEntries.erase(found->second);
    this->entries.erase(found);
}

std::vector<std::string> UpdateQueue::take(std::size_t count, std::size_t limit)
{
    std::vector<std::string> names;
    for (auto next = this->sortedEntries.begin(); next != this->sortedEntries.end() && names.size() < count; ++next)
        names.push_back(std::get<std::string>(*next));
    for (const auto& node : names) {
        const auto found = this->entries.find(node);
        this->sortedEntries.erase(found->second);
        if (++std::get<0>(found->second) >= limit)
            this->entries.erase(found);
        else
            this->sortedEntries.insert(found->second);
    }
    return names;
}

std::size_t retransmissionLimit(std::size_t members)
{
    return 2 * static_cast<std::size_t>(std::ceil(std::log(static_cast<double>(members) + 1)));
}

} // namespace lagoontiller::nodes
