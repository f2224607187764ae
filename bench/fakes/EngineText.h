#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::fakes {

/// \brief Prompt bytes that count as one token.
inline constexpr std::size_t bytesPerToken = 4;

/// \brief Serialises the role and content of each message; other fields and JSON formatting have no effect.
///
/// The serialisation of a conversation is a prefix of that of its continuation, as prefix caches require.
[[nodiscard]] std::string serialisePrompt(const nlohmann::json& messages);

/// \brief Serialises one message as serialisePrompt() does.
[[nodiscard]] std::string serialiseMessage(std::string_view role, std::string_view content);

/// \brief Number of tokens of a serialised prompt, rounded up.
[[nodiscard]] std::uint64_t countTokens(std::string_view serialised) noexcept;

/// \brief The tokens of the answer to a serialised prompt.
///
/// The answer depends only on the prompt: 24 to 87 words, truncated to `maxTokens` unless that is 0. Each token after
/// the first starts with a space. Each word ends with its index, so that lost or duplicate tokens are visible.
[[nodiscard]] std::vector<std::string> answerTokens(std::string_view serialised, std::uint64_t maxTokens);

/// \brief The answer to `messages` as one text.
[[nodiscard]] std::string answerText(const nlohmann::json& messages, std::uint64_t maxTokens);

/// \brief Removes the text `done` from the start of `tokens`; a token that is partly in `done` keeps the rest.
///
/// Returns false if the tokens do not start with `done`.
[[nodiscard]] bool removeTextPrefix(std::vector<std::string>& tokens, std::string_view done);

} // namespace lagoontiller::fakes
