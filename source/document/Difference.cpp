#include "document/Difference.h"

#include "document/IniText.h"
#include "document/SchemaCheck.h"
#include "document/impl/RecordValues.h"
#include "document/impl/ValueMap.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

namespace {

constexpr std::size_t redactedPrefixLength = 8;

std::string redact(const Change& change, const std::string& value)
{
    const auto* const rule = ruleOf(change.section());
    const auto* const field = rule == nullptr ? nullptr : rule->find(change.key());
    const bool isRedacted = field != nullptr && field->visibility == Visibility::Redacted;
    if (!isRedacted || value.size() <= redactedPrefixLength)
        return value;
    return value.substr(0, redactedPrefixLength) + "...";
}

} // namespace

std::string Change::redactedBefore() const
{
    return redact(*this, this->before);
}

std::string Change::redactedAfter() const
{
    return redact(*this, this->after);
}

Changes difference(const std::vector<DocumentValue>& from, const std::vector<DocumentValue>& to)
{
    const auto before = valueMap(from);
    const auto after = valueMap(to);
    std::map<ValueSortKey, Change> changes;
    for (const auto& [sortKey, old] : before) {
        const auto found = after.find(sortKey);
        if (found == after.end())
            changes.emplace(sortKey, Change(ChangeKind::Removed, old.section, old.key, old.value, ""));
        else if (found->second.value != old.value)
            changes.emplace(sortKey, Change(ChangeKind::Changed, old.section, old.key, old.value, found->second.value));
    }
    for (const auto& [sortKey, added] : after) {
        if (!before.contains(sortKey))
            changes.emplace(sortKey, Change(ChangeKind::Added, added.section, added.key, "", added.value));
    }
    Changes list;
    for (auto& [sortKey, change] : changes)
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
        const auto sortKey = sortKeyOf(change.section(), change.key());
        if (change.kind() == ChangeKind::Removed)
            map.erase(sortKey);
        else
            map.insert_or_assign(sortKey, DocumentValue { change.section(), change.key(), change.unredactedAfter() });
    }
    std::vector<DocumentValue> result;
    for (auto& [sortKey, value] : map)
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
        return line + " = " + change.redactedAfter();
    case ChangeKind::Removed:
        return line + " = " + change.redactedBefore();
    case ChangeKind::Changed:
        return line + ": " + change.redactedBefore() + " -> " + change.redactedAfter();
    }
    return line;
}

nlohmann::ordered_json toJson(const Changes& changes)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto& change : changes) {
        list.push_back({ { "change", name(change.kind()) }, { "section", change.section() }, { "key", change.key() },
            { "old", change.redactedBefore() }, { "new", change.redactedAfter() } });
    }
    return list;
}

} // namespace lagoontiller::document
