#include "gateway/ResponseMemory.h"

#include <algorithm>

namespace lagoontiller::gateway {

std::optional<std::uint64_t> ResponseMemory::hold(std::uint64_t call, std::size_t bytes)
{
    auto& held = this->bytesByCall[call];
    this->total = this->total - held + bytes;
    held = bytes;
    if (this->total <= this->maxBytes)
        return std::nullopt;
    const auto largest = std::max_element(this->bytesByCall.begin(), this->bytesByCall.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return largest->first;
}

void ResponseMemory::release(std::uint64_t call)
{
    const auto found = this->bytesByCall.find(call);
    if (found == this->bytesByCall.end())
        return;
    this->total -= found->second;
    this->bytesByCall.erase(found);
}

} // namespace lagoontiller::gateway
