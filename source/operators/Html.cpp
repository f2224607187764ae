#include "operators/Html.h"

namespace lagoontiller::operators {

std::string escapeHtml(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

Html& Html::open(std::string_view tag, const Attributes& attributes)
{
    this->markup.append("<").append(tag);
    for (const auto& [name, value] : attributes)
        this->markup.append(" ").append(name).append("=\"").append(escapeHtml(value)).append("\"");
    this->markup += '>';
    return *this;
}

Html& Html::close(std::string_view tag)
{
    this->markup.append("</").append(tag).append(">\n");
    return *this;
}

Html& Html::voidElement(std::string_view tag, const Attributes& attributes)
{
    return this->open(tag, attributes);
}

Html& Html::text(std::string_view text)
{
    this->markup += escapeHtml(text);
    return *this;
}

Html& Html::element(std::string_view tag, std::string_view text, const Attributes& attributes)
{
    return this->open(tag, attributes).text(text).close(tag);
}

Html& Html::add(const Html& fragment)
{
    this->markup += fragment.markup;
    return *this;
}

} // namespace lagoontiller::operators
