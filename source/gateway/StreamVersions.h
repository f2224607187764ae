#pragma once

#include "core/Time.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Remembers for a limited time which software version of its service began a stream.
///
/// A stream may be resumed only at the version that began it. Streams are named by the id of the call that brought
/// their first event.
class StreamVersions {
public:
    /// \brief Records the version, and the time until which the stream can be resumed. A stream that is already
    /// recorded keeps its version.
    void note(const std::string& stream, const std::string& version, core::TimePoint resumableUntil);
    /// \brief The version that began the stream; empty if unknown.
    [[nodiscard]] std::optional<std::string> find(const std::string& stream) const;
    /// \brief Drops streams that can no longer be resumed; call periodically.
    void tick(core::TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->versions.size(); }

private:
    struct Expiry {
        core::TimePoint at {};
        std::string stream;
    };

    std::unordered_map<std::string, std::string> versions;
    /// \brief In the order in which the streams were recorded.
    std::deque<Expiry> expiries;
};

} // namespace lagoontiller::gateway
