#include "document/Record.h"

#include "document/IniText.h"
#include "document/impl/Numbers.h"
#include "document/impl/StringUtil.h"

#include <algorithm>

namespace lagoontiller::document {

std::string Record::heading() const
{
    return headingOf(this->kind(), this->sectionName);
}

const RecordValue* Record::find(std::string_view key) const
{
    const auto value = this->values.find(key);
    return value == this->values.end() ? nullptr : &value->second;
}

bool Record::isInvalid(std::string_view key) const
{
    const auto* const value = this->find(key);
    return value != nullptr && !value->canonical;
}

std::string Record::text(std::string_view key) const
{
    const auto* const value = this->find(key);
    if (value != nullptr && value->canonical)
        return *value->canonical;
    const auto* const field = this->rule->find(key);
    return field == nullptr ? std::string() : std::string(field->defaultValue);
}

std::int64_t Record::integer(std::string_view key) const
{
    return parseInteger(this->text(key)).value_or(0);
}

double Record::decimal(std::string_view key) const
{
    return parseDecimal(this->text(key)).value_or(0);
}

bool Record::boolean(std::string_view key) const
{
    return this->text(key) == "true";
}

std::vector<std::string> Record::list(std::string_view key) const
{
    const auto text = this->text(key);
    const auto words = split(text, ',');
    return { words.begin(), words.end() };
}

Record firstOfKind(const std::vector<Record>& records, const SectionRule& rule)
{
    const auto found = std::find_if(
        records.begin(), records.end(), [&rule](const Record& record) { return record.kind() == rule.kind; });
    return found == records.end() ? Record(rule, "", 0, 0) : *found;
}

} // namespace lagoontiller::document
