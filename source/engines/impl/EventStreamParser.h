#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lagoontiller::engines::impl {

/// \brief Parses a stream of server-sent events and extracts the payloads of its `data:` lines.
class EventStreamParser {
public:
    /// \brief Parses received bytes and calls `onData` for each complete data line. An incomplete line is kept until
    /// the next call.
    void feed(std::string_view bytes, const std::function<void(std::string_view)>& onData);

private:
    std::string partialLine;
};

} // namespace lagoontiller::engines::impl
