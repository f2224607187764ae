#include "bench/fakes/EngineText.h"

#include "core/Hash.h"

#include <array>
#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

namespace {

constexpr std::uint64_t minimumWords = 24;
constexpr std::uint64_t additionalWords = 64;

constexpr std::array<const char*, 32> words { "lamp", "stone", "north", "record", "line", "battery", "letter",
    "granite", "exit", "minutes", "proof", "stairwell", "name", "fitting", "date", "verse", "passed", "bronze",
    "corridor", "order", "duration", "serif", "charge", "panel", "margin", "inspector", "plaque", "signed", "relay",
    "copy", "ready", "moss" };

} // namespace

std::string serialiseMessage(std::string_view role, std::string_view content)
{
    std::string text(role);
    text += '\x1f';
    text += content;
    text += '\x1e';
    return text;
}

std::string serialisePrompt(const nlohmann::json& messages)
{
    std::string text;
    if (!messages.is_array())
        return text;
    for (const auto& message : messages) {
        if (!message.is_object())
            continue;
        const auto content = message.find("content");
        std::string value;
        if (content != message.end())
            value = content->is_string() ? content->get<std::string>() : content->dump();
        text += serialiseMessage(message.value("role", ""), value);
    }
    return text;
}

std::uint64_t countTokens(std::string_view serialised) noexcept
{
    return (serialised.size() + bytesPerToken - 1) / bytesPerToken;
}

std::vector<std::string> answerTokens(std::string_view serialised, std::uint64_t maxTokens)
{
    const auto seed = core::hash64(serialised);
    auto count = minimumWords + seed % additionalWords;
    if (maxTokens > 0)
        count = std::min(count, maxTokens);
    std::vector<std::string> tokens;
    tokens.reserve(count);
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto* word = words[core::combine(seed, index) % words.size()];
        tokens.push_back((index == 0 ? "" : " ") + std::string(word) + std::to_string(index));
    }
    return tokens;
}

std::string answerText(const nlohmann::json& messages, std::uint64_t maxTokens)
{
    std::string text;
    for (const auto& token : answerTokens(serialisePrompt(messages), maxTokens))
        text += token;
    return text;
}

bool removeTextPrefix(std::vector<std::string>& tokens, std::string_view done)
{
    std::size_t index = 0;
    while (!done.empty() && index < tokens.size()) {
        const auto& token = tokens[index];
        const auto common = std::min(token.size(), done.size());
        if (done.substr(0, common) != std::string_view(token).substr(0, common))
            return false;
        done.remove_prefix(common);
        if (common < token.size()) {
            tokens[index] = token.substr(common);
            break;
        }
        ++index;
    }
    if (!done.empty())
        return false;
    tokens.erase(tokens.begin(), tokens.begin() + static_cast<std::ptrdiff_t>(index));
    return true;
}

} // namespace lagoontiller::fakes
