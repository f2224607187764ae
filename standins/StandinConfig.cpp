#include "standins/StandinConfig.h"

#include <ini.h>
#include <sstream>
#include <stdexcept>

namespace lagoontiller::standins {

namespace {

int addValue(void* user, const char* section, const char* name, const char* value)
{
    auto& sections = *static_cast<std::vector<ConfigSection>*>(user);
    const std::string title = section;
    const auto blank = title.find(' ');
    const auto kind = title.substr(0, blank);
    const auto own = blank == std::string::npos ? kind : title.substr(blank + 1);
    if (sections.empty() || sections.back().kind != kind || sections.back().name != own) {
        sections.emplace_back();
        sections.back().kind = kind;
        sections.back().name = own;
    }
    return sections.back().values.emplace(name, value).second ? 1 : 0;
}

} // namespace

std::string ConfigSection::text(const std::string& key, const std::string& fallback)
{
    this->known.insert(key);
    const auto found = this->values.find(key);
    return found == this->values.end() ? fallback : found->second;
}

double ConfigSection::number(const std::string& key, double fallback)
{
    const auto value = this->text(key);
    if (value.empty())
        return fallback;
    char* end = nullptr;
    const auto result = std::strtod(value.c_str(), &end);
    if (*end != '\0' || result < 0)
        throw std::runtime_error("[" + this->kind + " " + this->name + "] " + key + " must be a number of at least 0");
    return result;
}

std::uint64_t ConfigSection::count(const std::string& key, std::uint64_t fallback)
{
    return static_cast<std::uint64_t>(this->number(key, static_cast<double>(fallback)));
}

bool ConfigSection::flag(const std::string& key, bool fallback)
{
    const auto value = this->text(key, fallback ? "true" : "false");
    if (value != "true" && value != "false")
        throw std::runtime_error("[" + this->kind + " " + this->name + "] " + key + " must be true or false");
    return value == "true";
}

std::vector<std::string> ConfigSection::list(const std::string& key)
{
    return splitList(this->text(key));
}

void ConfigSection::checkKeys() const
{
    for (const auto& [key, value] : this->values) {
        if (!this->known.contains(key))
            throw std::runtime_error("[" + this->kind + " " + this->name + "] has an unknown key: " + key);
    }
}

std::vector<ConfigSection> readConfig(const std::string& path)
{
    std::vector<ConfigSection> sections;
    const auto result = ini_parse(path.c_str(), addValue, &sections);
    if (result < 0)
        throw std::runtime_error("cannot read " + path);
    if (result > 0)
        throw std::runtime_error(path + " line " + std::to_string(result) + " is malformed or repeats a key");
    return sections;
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto first = item.find_first_not_of(" \t");
        if (first == std::string::npos)
            continue;
        items.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
    }
    return items;
}

} // namespace lagoontiller::standins
