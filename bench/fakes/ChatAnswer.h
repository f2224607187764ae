#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::fakes {

/// \brief A chat completion as a caller reads it.
struct ChatAnswer {
    std::string text;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    bool hasUsage = false;
    /// \brief `committed` or `pending`; empty when the answer did not say.
    std::string commit;
    [[nodiscard]] bool operator==(const ChatAnswer&) const = default;
};

/// \brief A refusal in the form of section 6 of the design page.
struct Refusal {
    int code = 0;
    std::string name;
    std::string ran;
    std::string message;
    /// \brief -1 when the refusal names no time.
    std::int64_t retryAfterMs = -1;
    [[nodiscard]] bool operator==(const Refusal&) const = default;
};

/// \brief Reads a whole answer; nothing when the body is none.
[[nodiscard]] std::optional<ChatAnswer> parseWholeAnswer(std::string_view body);

/// \brief Reads a complete stream; nothing when `data: [DONE]` is missing.
[[nodiscard]] std::optional<ChatAnswer> parseStream(std::string_view body);

/// \brief Reads a refusal body, also one inside an event of a stream; nothing when there is none.
[[nodiscard]] std::optional<Refusal> parseRefusal(std::string_view body);

} // namespace lagoontiller::fakes
