#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lagoontiller::engines::impl {

/// \brief Splits a server-sent event stream into the payloads of its `data:` lines.
class EventStreamParser {
public:
    /// \brief Feeds received bytes; calls `onData` for each complete data line.
    void feed(std::string_view bytes, const std::function<void(std::string_view)>& onData);

private:
    std::string partialLine;
};

} // namespace lagoontiller::engines::impl
