#include "document/Difference.h"

#include "document/IniText.h"
#include "document/SchemaCheck.h"
#include "document/impl/RecordValues.h"
#include "document/impl/ValueMap.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

namespace {

constexpr std::size_t shownCharacters = 8;

std::string shown(const Change& change, const std::string& value)
{
    const auto* const rule = ruleOf(change.section());
    const auto* const field = rule == nullptr ? nullptr : rule->find(change.key());
    const bool shorten = field != nullptr && field->visibility == Visibility::Shortened;
    if (!shorten || value.size() <= shownCharacters)
        return value;
    return value.substr(0, shownCharacters) + "...";
}

} // namespace

std::string Change::shownBefore() const
{
    return shown(*this, this->before);
}

std::string Change::shownAfter() const
{
    return shown(*this, this->after);
}

Changes difference(const std::vector<DocumentValue>& from, const std::vector<DocumentValue>& to)
{
    const auto before = valueMap(from);
    const auto after = valueMap(to);
    std::map<ValuePlace, Change> changes;
    for (const auto& [place, old] : before) {
        const auto found = after.find(place);
        if (found == after.end())
            changes.emplace(place, Change(ChangeKind::Removed, old.section, old.key, old.value, ""));
        else if (found->second.value != old.value)
            changes.emplace(place, Change(ChangeKind::Changed, old.section, old.key, old.value, found->second.value));
    }
    for (const auto& [place, added] : after) {
        if (!before.contains(place))
            changes.emplace(place, Change(ChangeKind::Added, added.section, added.key, "", added.value));
    }
    Changes list;
    for (auto& [place, change] : changes)
        list.push_back(std::move(change));
    return list;
}

Changes difference(const Document& from, const Document& to)
{
    return difference(from.values(), to.values());
}

std::vector<DocumentValue> applyChanges(const std::vector<DocumentValue>& values, const Changes& changes)
{
    auto map = valueMap(values);
    for (const auto& change : changes) {
        const auto place = placeOf(change.section(), change.key());
        if (change.kind() == ChangeKind::Removed)
            map.erase(place);
        else
            map.insert_or_assign(place, DocumentValue { change.section(), change.key(), change.fullAfter() });
    }
    std::vector<DocumentValue> result;
    for (auto& [place, value] : map)
        result.push_back(std::move(value));
    return result;
}

std::vector<DocumentValue> canonicalValues(std::string_view text)
{
    Faults ignored;
    const auto records = checkSchema(documentSchema(), readIni(text), ignored);
    return valuesOf(documentSchema(), records);
}

std::string_view name(ChangeKind kind) noexcept
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "changed";
}

std::string format(const Change& change)
{
    std::string line(name(change.kind()));
    line += " [" + change.section() + ']';
    if (change.key().empty())
        return line;
    line += ' ' + change.key();
    switch (change.kind()) {
    case ChangeKind::Added:
        return line + " = " + change.shownAfter();
    case ChangeKind::Removed:
        return line + " = " + change.shownBefore();
    case ChangeKind::Changed:
        return line + ": " + change.shownBefore() + " -> " + change.shownAfter();
    }
    return line;
}

nlohmann::ordered_json toJson(const Changes& changes)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto& change : changes) {
        list.push_back({ { "change", name(change.kind()) }, { "section", change.section() }, { "key", change.key() },
            { "old", change.shownBefore() }, { "new", change.shownAfter() } });
    }
    return list;
}

} // namespace lagoontiller::document
