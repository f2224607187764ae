#include "command/ReadFile.h"

#include <fstream>
#include <iostream>

namespace lagoontiller::command {

namespace {

std::string readAll(std::istream& stream, std::size_t maxBytes)
{
    std::string text(maxBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace

core::Expected<std::string> readFile(const std::string& path, std::size_t maxBytes)
{
    if (path == "-")
        return readAll(std::cin, maxBytes);
    std::ifstream file(path, std::ios::binary);
    // Opening a directory succeeds; the first read fails.
    if (!file || (file.peek() == std::ifstream::traits_type::eof() && file.bad()))
        return core::failure(core::ResultCode::FileUnreadable, "cannot read " + path);
    auto text = readAll(file, maxBytes);
    if (file.bad())
        return core::failure(core::ResultCode::FileUnreadable, "cannot read " + path);
    return text;
}

} // namespace lagoontiller::command
