#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoontiller::operators {

/// \brief Escapes the characters that are special in HTML text and in quoted attribute values.
[[nodiscard]] std::string escapeHtml(std::string_view text);

/// \brief Attribute names and unescaped values. An empty value is written as `name=""`.
using Attributes = std::vector<std::pair<std::string_view, std::string_view>>;

/// \brief Builds an HTML fragment. Text and attribute values are escaped. Tag and attribute names are not, so they must
/// be constants.
class Html {
public:
    Html& open(std::string_view tag, const Attributes& attributes = {});
    Html& close(std::string_view tag);
    /// \brief Appends a void element such as `input`, which has no end tag.
    Html& voidElement(std::string_view tag, const Attributes& attributes = {});
    Html& text(std::string_view text);
    Html& element(std::string_view tag, std::string_view text, const Attributes& attributes = {});
    Html& add(const Html& fragment);

    [[nodiscard]] const std::string& content() const noexcept { return this->markup; }
    [[nodiscard]] bool isEmpty() const noexcept { return this->markup.empty(); }

private:
    std::string markup;
};

} // namespace lagoontiller::operators
