#include "document/SchemaCheck.h"

#include "document/impl/NearestName.h"
#include "document/impl/StringUtil.h"
#include "document/impl/Utf8.h"
#include "document/impl/Value.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace lagoontiller::document {

namespace {

using NamesByKind = std::map<std::string_view, std::set<std::string_view>>;

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

bool isNamed(const SectionRule& rule) noexcept
{
    return rule.occurrence == Occurrence::NamedAtLeastOnce || rule.occurrence == Occurrence::NamedAnyNumber;
}

bool isRequired(const SectionRule& rule) noexcept
{
    return rule.occurrence == Occurrence::NamedAtLeastOnce || rule.occurrence == Occurrence::Once;
}

std::string expectedHeading(const SectionRule& rule)
{
    return '[' + std::string(rule.kind) + (isNamed(rule) ? " NAME]" : "]");
}

class SchemaChecker {
public:
    SchemaChecker(const Schema& schema, Faults& faults)
        : schema(schema)
        , faults(faults)
    {
    }

    std::vector<Record> check(const IniText& text)
    {
        for (const auto& section : text.sections) {
            if (!this->isFaultLimitReached())
                this->checkSection(section);
        }
        this->checkOccurrence();
        this->checkReferences();
        return std::move(this->records);
    }

private:
    // Limits the time spent on searching for similar names in a text with many faults.
    [[nodiscard]] bool isFaultLimitReached() const noexcept { return this->faults.size() >= maxFaults; }

    void checkSection(const IniSection& section)
    {
        const auto* const rule = this->schema.find(section.kind);
        if (rule == nullptr) {
            this->reportUnknownSection(section);
            return;
        }
        const auto heading = section.heading();
        if (const auto [first, inserted] = this->firstLineByHeading.emplace(heading, section.line); !inserted) {
            this->faults.push_back({ section.line, section.column, heading, "",
                "the section is a duplicate of line " + std::to_string(first->second), "each section once", "" });
        }
        this->checkSectionName(*rule, section);
        this->records.emplace_back(*rule, section.name, section.line, section.column);
        this->checkKeys(*rule, section, this->records.back());
    }

    void reportUnknownSection(const IniSection& section)
    {
        std::vector<std::string_view> kinds;
        for (const auto& rule : this->schema.sections())
            kinds.push_back(rule.kind);
        this->faults.push_back({ section.line, section.column, section.heading(), "", "unknown section",
            joined(kinds, ", "), nearestName(section.kind, kinds) });
    }

    void checkSectionName(const SectionRule& rule, const IniSection& section)
    {
        const auto addFault = [&](std::string problem, std::string allowed) {
            this->faults.push_back(
                { section.line, section.column, section.heading(), "", std::move(problem), std::move(allowed), "" });
        };
        if (!isNamed(rule)) {
            if (!section.name.empty())
                addFault("the section takes no name", expectedHeading(rule));
            return;
        }
        if (section.name.empty())
            addFault("the section has no name", expectedHeading(rule));
        else if (!isName(section.name))
            addFault(quoted(section.name) + " is not a name", "letters, digits, \"-\", \"_\" and \".\", up to 40");
        else if (!rule.allowDotInName && section.name.find('.') != std::string::npos)
            addFault(quoted(section.name) + " contains a dot", "letters, digits, \"-\" and \"_\", up to 40");
    }

    void checkKeys(const SectionRule& rule, const IniSection& section, Record& record)
    {
        for (const auto& entry : section.entries)
            this->checkEntry(rule, section, entry, record);
        for (const auto& field : rule.fields) {
            if (field.presence == Presence::Required && record.find(field.key) == nullptr) {
                this->faults.push_back({ section.line, section.column, section.heading(), std::string(field.key),
                    "the key is missing", allowedValues(field), "" });
            }
        }
    }

    void checkEntry(const SectionRule& rule, const IniSection& section, const IniEntry& entry, Record& record)
    {
        const auto addFault = [&](int column, std::string problem, std::string allowed, std::string hint) {
            this->faults.push_back({ entry.line, column, section.heading(), entry.key, std::move(problem),
                std::move(allowed), std::move(hint) });
        };
        const auto* const field = rule.find(entry.key);
        if (field == nullptr) {
            std::vector<std::string_view> keys;
            for (const auto& each : rule.fields)
                keys.push_back(each.key);
            const auto allowed = keys.empty() ? std::string("no keys") : joined(keys, ", ");
            addFault(entry.keyColumn, "unknown key", allowed, nearestName(entry.key, keys));
            return;
        }
        if (const auto* const first = record.find(entry.key)) {
            addFault(
                entry.keyColumn, "the key is a duplicate of line " + std::to_string(first->line), "each key once", "");
            return;
        }
        RecordValue value { entry.value, std::nullopt, entry.line, entry.valueColumn };
        if (entry.value.empty()) {
            addFault(entry.valueColumn, "the value is empty", allowedValues(*field), "");
        } else if (auto canonical = canonicalValue(*field, entry.value)) {
            value.canonical = std::move(*canonical);
        } else {
            const auto& error = canonical.error();
            const int column = entry.valueColumn + columnAt(entry.value, error.offset) - 1;
            addFault(column, error.problem, allowedValues(*field), error.hint);
        }
        record.add(entry.key, std::move(value));
    }

    void checkOccurrence()
    {
        for (const auto& rule : this->schema.sections()) {
            const auto matches = [&rule](const Record& record) { return record.kind() == rule.kind; };
            if (isRequired(rule) && std::none_of(this->records.begin(), this->records.end(), matches)) {
                this->faults.push_back(
                    { 1, 1, std::string(rule.kind), "", "the section is missing", expectedHeading(rule), "" });
            }
        }
    }

    void checkReferences()
    {
        NamesByKind names;
        for (const auto& record : this->records)
            names[record.kind()].insert(record.name());
        for (const auto& record : this->records) {
            for (const auto& field : record.sectionRule().fields) {
                if (!field.refersTo.empty() && !this->isFaultLimitReached())
                    this->checkReference(record, field, names[field.refersTo]);
            }
        }
    }

    void checkReference(const Record& record, const Field& field, const std::set<std::string_view>& names)
    {
        const auto* const value = record.find(field.key);
        if (value == nullptr || !value->canonical)
            return;
        for (const auto reference : split(value->raw, ',')) {
            if (names.contains(reference))
                continue;
            const auto offset = static_cast<std::size_t>(reference.data() - value->raw.data());
            const std::vector<std::string_view> candidates(names.begin(), names.end());
            this->faults.push_back({ value->line, value->column + columnAt(value->raw, offset) - 1, record.heading(),
                std::string(field.key), "unknown " + std::string(field.refersTo) + ' ' + quoted(reference),
                allowedValues(field), nearestName(reference, candidates) });
            if (this->isFaultLimitReached())
                return;
        }
    }

    const Schema& schema;
    Faults& faults;
    std::vector<Record> records;
    std::unordered_map<std::string, int> firstLineByHeading;
};

} // namespace

std::vector<Record> checkSchema(const Schema& schema, const IniText& text, Faults& faults)
{
    return SchemaChecker(schema, faults).check(text);
}

} // namespace lagoontiller::document
