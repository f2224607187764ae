#include "engines/impl/EventStreamParser.h"

namespace lagoontiller::engines::impl {

namespace {

constexpr std::string_view dataPrefix = "data:";

void deliverData(std::string_view line, const std::function<void(std::string_view)>& onData)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (!line.starts_with(dataPrefix))
        return;
    line.remove_prefix(dataPrefix.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    onData(line);
}

} // namespace

void EventStreamParser::feed(std::string_view bytes, const std::function<void(std::string_view)>& onData)
{
    std::size_t begin = 0;
    for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', begin)) {
        if (this->partialLine.empty()) {
            deliverData(bytes.substr(begin, end - begin), onData);
        } else {
            this->partialLine.append(bytes.substr(begin, end - begin));
            const std::string line = std::move(this->partialLine);
            this->partialLine.clear();
            deliverData(line, onData);
        }
        begin = end + 1;
    }
    this->partialLine.append(bytes.substr(begin));
}

} // namespace lagoontiller::engines::impl
