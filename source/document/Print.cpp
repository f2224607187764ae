#include "document/Document.h"

namespace lagoontiller::document {

std::string print(const Document& document)
{
    return print(document.values());
}

std::string print(const std::vector<DocumentValue>& values)
{
    std::string text;
    for (const auto& each : values) {
        if (!each.key.empty()) {
            text += each.key + " = " + each.value + '\n';
            continue;
        }
        if (!text.empty())
            text += '\n';
        text += '[' + each.section + "]\n";
    }
    return text;
}

} // namespace lagoontiller::document
