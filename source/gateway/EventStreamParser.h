#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::gateway {

/// \brief One complete event of a server-sent event stream.
struct StreamEvent {
    /// \brief The unmodified bytes, including the terminating blank line.
    std::string bytes;
    /// \brief Empty if the event has no id or one that is not a number of 64 bits.
    std::optional<std::uint64_t> id;
    std::string data;
    bool hasData = false;
};

/// \brief Splits a server-sent event stream into complete events.
class EventStreamParser {
public:
    /// \brief Appends bytes and returns the events that are now complete.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view bytes);
    /// \brief Whether the bytes received so far end inside an event.
    [[nodiscard]] bool hasPartialEvent() const noexcept { return !this->buffer.empty(); }
    /// \brief Number of bytes of the incomplete event at the end.
    [[nodiscard]] std::size_t partialEventBytes() const noexcept { return this->buffer.size(); }

private:
    std::string buffer;
};

} // namespace lagoontiller::gateway
