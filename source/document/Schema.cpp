#include "document/Schema.h"

#include "document/impl/Numbers.h"
#include "document/impl/StringUtil.h"
#include "document/impl/Value.h"

#include <algorithm>

namespace lagoontiller::document {

namespace {

std::string rangeOf(const Field& field)
{
    if (field.minimum == field.maximum)
        return printNumber(field.minimum);
    return printNumber(field.minimum) + " to " + printNumber(field.maximum);
}

std::string referenceOf(const Field& field)
{
    if (field.refersTo.empty())
        return "letters, digits, \"-\", \"_\" and \".\", up to 40";
    return "the name of a [" + std::string(field.refersTo) + " NAME] section";
}

} // namespace

const Field* SectionRule::find(std::string_view key) const noexcept
{
    const auto field
        = std::find_if(this->fields.begin(), this->fields.end(), [key](const Field& each) { return each.key == key; });
    return field == this->fields.end() ? nullptr : &*field;
}

const SectionRule* Schema::find(std::string_view kind) const noexcept
{
    const auto rule = std::find_if(
        this->rules.begin(), this->rules.end(), [kind](const SectionRule& each) { return each.kind == kind; });
    return rule == this->rules.end() ? nullptr : &*rule;
}

bool isCustomerName(std::string_view text) noexcept
{
    return isName(text) && text.find('.') == std::string_view::npos;
}

std::string allowedValues(const Field& field)
{
    switch (field.type) {
    case ValueType::Text:
        return "1 to 200 bytes of text";
    case ValueType::Name:
        return referenceOf(field);
    case ValueType::NameList:
        return referenceOf(field) + ", several separated by commas";
    case ValueType::PathList:
        return "paths that start with \"/\", separated by commas";
    case ValueType::Integer:
        return "a whole number from " + rangeOf(field);
    case ValueType::Decimal:
        return "a number from " + rangeOf(field);
    case ValueType::Boolean:
        return "true or false";
    case ValueType::Choice:
        return "one of " + joined(choicesOf(field), ", ");
    case ValueType::Address:
        return "an IP number and port such as 127.0.0.1:8101 or [::1]:8101";
    case ValueType::AddressList:
        return "IP numbers with ports such as 127.0.0.1:8101, separated by commas";
    case ValueType::Hex:
        return rangeOf(field) + " bytes as hexadecimal digits";
    case ValueType::Z85Key:
        return "40 characters of Z85 text";
    }
    return "";
}

std::vector<std::string_view> choicesOf(const Field& field)
{
    return split(field.choices, '|');
}

} // namespace lagoontiller::document
