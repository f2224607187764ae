#include "gateway/StreamVersions.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Limit of the streams in memory; beyond it the oldest are dropped, and cannot be resumed while several
/// versions are in service.
constexpr std::size_t maxStreams = 16'384;
constexpr std::size_t maxNameBytes = 200;

} // namespace

void StreamVersions::note(const std::string& stream, const std::string& version, core::TimePoint resumableUntil)
{
    if (stream.empty() || stream.size() > maxNameBytes || version.size() > maxNameBytes)
        return;
    if (!this->versions.try_emplace(stream, version).second)
        return;
    this->expiries.push_back({ resumableUntil, stream });
    if (this->expiries.size() > maxStreams) {
        this->versions.erase(this->expiries.front().stream);
        this->expiries.pop_front();
    }
}

std::optional<std::string> StreamVersions::find(const std::string& stream) const
{
    const auto found = this->versions.find(stream);
    return found == this->versions.end() ? std::nullopt : std::optional(found->second);
}

void StreamVersions::tick(core::TimePoint now)
{
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        this->versions.erase(this->expiries.front().stream);
        this->expiries.pop_front();
    }
}

} // namespace lagoontiller::gateway
