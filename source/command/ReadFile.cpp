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

core::Expected<std::string> readKeyFile(const std::string& path)
{
    constexpr std::size_t maxKeyFileBytes = 4096;
    const auto text = readFile(path, maxKeyFileBytes);
    if (!text)
        return tl::unexpected(text.error());
    return trim(*text);
}

std::string trim(const std::string& text)
{
    constexpr auto blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace lagoontiller::command
