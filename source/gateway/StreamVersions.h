#pragma once

#include "core/Time.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Where a stream began.
struct StreamOrigin {
    /// \brief Empty if a node that does not state services has recorded the stream.
    std::string service;
    /// \brief Software version of the endpoint.
    std::string version;
    [[nodiscard]] bool operator==(const StreamOrigin&) const = default;
};

/// \brief Remembers for a limited time which service, and which software version of it, began a stream.
///
/// A stream may be resumed only there. Streams are named by the id of the call that brought their first event.
class StreamVersions {
public:
    /// \brief Records the origin, and the time until which the stream can be resumed. A stream that is already
    /// recorded keeps its origin.
    void note(const std::string& stream, const StreamOrigin& origin, core::TimePoint resumableUntil);
    /// \brief The origin of the stream; empty if unknown.
    [[nodiscard]] std::optional<StreamOrigin> find(const std::string& stream) const;
    /// \brief Drops streams that can no longer be resumed; call periodically.
    void tick(core::TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->origins.size(); }

private:
    struct Expiry {
        core::TimePoint at {};
        std::string stream;
    };

    std::unordered_map<std::string, StreamOrigin> origins;
    /// \brief In the order in which the streams were recorded.
    std::deque<Expiry> expiries;
};

} // namespace lagoontiller::gateway
