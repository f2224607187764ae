#include "document/impl/RecordValues.h"

#include <algorithm>

namespace lagoontiller::document {

namespace {

void appendValues(std::vector<DocumentValue>& values, const Record& record)
{
    const auto heading = record.heading();
    values.push_back({ heading, "", "" });
    for (const auto& field : record.sectionRule().fields) {
        auto value = record.text(field.key);
        if (!value.empty())
            values.push_back({ heading, std::string(field.key), std::move(value) });
    }
}

} // namespace

std::vector<const Record*> sortedOfKind(const std::vector<Record>& records, std::string_view kind)
{
    std::vector<const Record*> sorted;
    for (const auto& record : records) {
        if (record.kind() == kind)
            sorted.push_back(&record);
    }
    std::sort(sorted.begin(), sorted.end(),
        [](const Record* left, const Record* right) { return left->name() < right->name(); });
    return sorted;
}

std::vector<DocumentValue> valuesOf(const Schema& schema, const std::vector<Record>& records)
{
    std::vector<DocumentValue> values;
    for (const auto& rule : schema.sections()) {
        const auto sorted = sortedOfKind(records, rule.kind);
        if (sorted.empty() && rule.occurrence == Occurrence::AtMostOnce)
            appendValues(values, Record(rule, "", 0, 0));
        for (const auto* record : sorted)
            appendValues(values, *record);
    }
    return values;
}

} // namespace lagoontiller::document
