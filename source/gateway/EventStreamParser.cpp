#include "gateway/EventStreamParser.h"

#include <charconv>

namespace lagoontiller::gateway {

namespace {

void parseLine(std::string_view line, StreamEvent& event)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    const auto name = line.substr(0, colon);
    auto value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "data") {
        if (event.hasData)
            event.data += '\n';
        event.data.append(value);
        event.hasData = true;
    } else if (name == "id") {
        std::uint64_t id = 0;
        const auto* const end = value.data() + value.size();
        const auto result = std::from_chars(value.data(), end, id);
        event.id = result.ec == std::errc() && result.ptr == end ? std::optional(id) : std::nullopt;
    }
}

/// \brief Length of the first event including its terminating blank line; 0 while the event is incomplete.
std::size_t eventLength(std::string_view bytes) noexcept
{
    std::size_t start = 0;
    for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', start)) {
        const bool blank = end == start || (end == start + 1 && bytes[start] == '\r');
        start = end + 1;
        if (blank)
            return start;
    }
    return 0;
}

StreamEvent parseEvent(std::string_view bytes)
{
    StreamEvent event;
    event.bytes = bytes;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        auto line = bytes.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parseLine(line, event);
        bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    }
    return event;
}

} // namespace

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t used = 0;
    while (const auto length = eventLength(std::string_view(this->buffer).substr(used))) {
        events.push_back(parseEvent(std::string_view(this->buffer).substr(used, length)));
        used += length;
    }
    this->buffer.erase(0, used);
    return events;
}

} // namespace lagoontiller::gateway
