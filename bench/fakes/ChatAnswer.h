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
    /// \brief `committed` or `pending`; empty if the answer has no commit state.
    std::string commit;
    [[nodiscard]] bool operator==(const ChatAnswer&) const = default;
};

/// \brief An error body as defined in section 6 of the design page.
struct Refusal {
    int code = 0;
    std::string name;
    std::string ran;
    std::string message;
    /// \brief -1 if the refusal has no `retry_after_ms`.
    std::int64_t retryAfterMs = -1;
    [[nodiscard]] bool operator==(const Refusal&) const = default;
};

/// \brief Parses a non-streamed completion; empty if the body is not one.
[[nodiscard]] std::optional<ChatAnswer> parseCompletion(std::string_view body);

/// \brief Parses a streamed completion; empty if `data: [DONE]` is missing.
[[nodiscard]] std::optional<ChatAnswer> parseStream(std::string_view body);

/// \brief Parses an error body or the first error event of a stream; empty if there is none.
[[nodiscard]] std::optional<Refusal> parseRefusal(std::string_view body);

} // namespace lagoontiller::fakes
