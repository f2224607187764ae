#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::fakes {

/// \brief Prompt bytes that count as one token.
inline constexpr std::size_t bytesPerToken = 4;

/// \brief Serialises the role and the content of each message; other fields and the layout of the JSON do not matter.
///
/// The serialisation of a longer conversation starts with that of its beginning, so that it can be used for prefix
/// caches.
[[nodiscard]] std::string serialisePrompt(const nlohmann::json& messages);

/// \brief Serialises one message as serialisePrompt() does.
[[nodiscard]] std::string serialiseMessage(std::string_view role, std::string_view content);

/// \brief Number of tokens of a serialised prompt, rounded up.
[[nodiscard]] std::uint64_t countTokens(std::string_view serialised) noexcept;

/// \brief The tokens of the answer to a serialised prompt.
///
/// The answer depends on the prompt only: it has 24 to 87 words, cut to `maxTokens` unless that is 0. Each token after
/// the first one starts with a blank. A word carries its index, so that a lost or doubled token changes the text
/// visibly.
[[nodiscard]] std::vector<std::string> answerTokens(std::string_view serialised, std::uint64_t maxTokens);

/// \brief The whole answer to `messages`.
[[nodiscard]] std::string answerText(const nlohmann::json& messages, std::uint64_t maxTokens);

/// \brief What remains of `tokens` after the text `done`; a token that `done` cuts is continued at the cut.
///
/// Returns false when the answer does not start with `done`.
[[nodiscard]] bool skipText(std::vector<std::string>& tokens, std::string_view done);

} // namespace lagoontiller::fakes
