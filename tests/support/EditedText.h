#pragma once

#include <fstream>
#include <gtest/gtest.h>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace lagoontiller::support {

inline std::string readText(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// \brief One case of a golden file: edits of a base text and the expected fault lines.
struct FaultCase {
    std::string name;
    std::string text;
    std::vector<std::string> expected;
    friend std::ostream& operator<<(std::ostream& stream, const FaultCase& each) { return stream << each.name; }
};

inline std::string unescaped(const std::string& line)
{
    std::string result;
    for (std::size_t i = 0; i < line.size(); ++i) {
        if (line.compare(i, 2, "\\x") == 0) {
            result += static_cast<char>(std::stoi(line.substr(i + 2, 2), nullptr, 16));
            i += 3;
        } else {
            result += line[i];
        }
    }
    return result;
}

/// \brief Reads the cases of `casesPath` and applies their edits to the text of `basePath`.
inline std::vector<FaultCase> readFaultCases(const std::string& basePath, const std::string& casesPath)
{
    const auto base = readText(basePath);
    std::vector<FaultCase> cases;
    std::istringstream lines(readText(casesPath));
    std::size_t position = 0;
    for (std::string line; std::getline(lines, line);) {
        const auto rest = line.size() > 2 ? line.substr(2) : std::string();
        if (line.empty() || line[0] == '#')
            continue;
        if (line[0] == '=') {
            cases.push_back({ rest, base, {} });
        } else if (line[0] == '-') {
            auto& text = cases.back().text;
            position = text.starts_with(rest + '\n') ? 0 : text.find('\n' + rest + '\n') + 1;
            if (position == 0 && !text.starts_with(rest + '\n'))
                throw std::runtime_error("no such line in the base text: " + rest);
            text.erase(position, rest.size() + 1);
        } else if (line[0] == '+') {
            const auto added = unescaped(rest) + '\n';
            cases.back().text.insert(position, added);
            position += added.size();
        } else if (line[0] == '<') {
            cases.back().expected.push_back(rest);
        } else {
            throw std::runtime_error("unknown line in the cases: " + line);
        }
    }
    return cases;
}

} // namespace lagoontiller::support
