#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::gateway {

/// \brief One whole event of an event stream.
struct StreamEvent {
    /// \brief The bytes as they came, with the blank line.
    std::string bytes;
    std::optional<std::uint64_t> id;
    std::string data;
    bool hasData = false;
};

/// \brief Cuts an event stream into whole events.
class EventStreamParser {
public:
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view bytes);
    /// \brief Whether the bytes so far end inside an event.
    [[nodiscard]] bool hasPartialEvent() const noexcept { return !this->buffer.empty(); }

private:
    std::string buffer;
};

} // namespace lagoontiller::gateway
