#include "gateway/StreamVersions.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Limit of the streams in memory; beyond it the oldest are dropped, and cannot be resumed while several
/// origins are possible.
constexpr std::size_t maxStreams = 16'384;
constexpr std::size_t maxNameBytes = 200;

} // namespace

void StreamVersions::note(const std::string& stream, const StreamOrigin& origin, core::TimePoint resumableUntil)
{
    if (stream.empty() || std::max({ stream.size(), origin.service.size(), origin.version.size() }) > maxNameBytes)
        return;
    if (!this->origins.try_emplace(stream, origin).second)
        return;
    this->expiries.push_back({ resumableUntil, stream });
    if (this->expiries.size() > maxStreams) {
        this->origins.erase(this->expiries.front().stream);
        this->expiries.pop_front();
    }
}

std::optional<StreamOrigin> StreamVersions::find(const std::string& stream) const
{
    const auto found = this->origins.find(stream);
    return found == this->origins.end() ? std::nullopt : std::optional(found->second);
}

void StreamVersions::tick(core::TimePoint now)
{
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        this->origins.erase(this->expiries.front().stream);
        this->expiries.pop_front();
    }
}

} // namespace lagoontiller::gateway
