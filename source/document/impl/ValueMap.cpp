#include "document/impl/ValueMap.h"

namespace lagoontiller::document {

const SectionRule* ruleOf(std::string_view section) noexcept
{
    return documentSchema().find(section.substr(0, section.find(' ')));
}

ValueSortKey sortKeyOf(const std::string& section, std::string_view key)
{
    const auto rules = documentSchema().sections();
    const auto* const rule = ruleOf(section);
    if (rule == nullptr)
        return { rules.size(), section, 0 };
    const auto* const field = rule->find(key);
    const auto fieldIndex = field == nullptr ? 0 : static_cast<std::size_t>(field - rule->fields.data()) + 1;
    return { static_cast<std::size_t>(rule - rules.data()), section, fieldIndex };
}

ValueMap valueMap(const std::vector<DocumentValue>& values)
{
    ValueMap map;
    for (const auto& value : values)
        map.emplace(sortKeyOf(value.section, value.key), value);
    return map;
}

} // namespace lagoontiller::document
