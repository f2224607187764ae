#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoontiller::standins {

/// \brief Section `[KIND NAME]` of the configuration. The readers throw std::runtime_error for a malformed value.
class ConfigSection {
public:
    std::string kind;
    std::string name;
    std::map<std::string, std::string> values;

    [[nodiscard]] std::string text(const std::string& key, const std::string& fallback = "");
    [[nodiscard]] double number(const std::string& key, double fallback);
    [[nodiscard]] std::uint64_t count(const std::string& key, std::uint64_t fallback);
    [[nodiscard]] bool flag(const std::string& key, bool fallback);
    /// \brief Items of a comma-separated list, trimmed.
    [[nodiscard]] std::vector<std::string> list(const std::string& key);
    /// \brief Throws std::runtime_error when the section has a key that was not read.
    void checkKeys() const;

private:
    std::set<std::string> known;
};

/// \brief Reads the sections in the order of the file. Throws std::runtime_error with the line of a syntax error or
/// repeated key.
[[nodiscard]] std::vector<ConfigSection> readConfig(const std::string& path);

/// \brief Splits at commas and strips blanks; empty items are left out.
[[nodiscard]] std::vector<std::string> splitList(const std::string& text);

} // namespace lagoontiller::standins
