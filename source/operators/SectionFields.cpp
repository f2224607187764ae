#include "operators/DraftForm.h"

#include "document/Schema.h"

#include <algorithm>

namespace lagoontiller::operators {

namespace {

using document::Field;
using document::Presence;
using document::SectionRule;
using document::ValueType;

// A field that refers to a section kind with more names than this is a text input: with a selection list in every
// section, the page size would grow with the square of the section count.
constexpr std::size_t maxOfferedNames = 200;
constexpr std::size_t maxNamesInHelp = 12;
constexpr std::size_t shownHashCharacters = 8;

std::vector<std::string> sectionNames(const Draft& draft, std::string_view kind)
{
    std::vector<std::string> names;
    for (const auto& section : draft.sections) {
        if (section.kind == kind && !section.name.empty() && names.size() <= maxOfferedNames)
            names.push_back(section.name);
    }
    return names;
}

std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(names.size(), maxNamesInHelp); ++index)
        text += (index == 0 ? "" : ", ") + names[index];
    return names.size() > maxNamesInHelp ? text + ", ..." : text;
}

Html faultMessages(const document::Faults& faults, std::string_view key)
{
    Html html;
    for (const auto& fault : faults) {
        if (fault.key != key)
            continue;
        auto text = fault.problem;
        if (!fault.allowed.empty())
            text += "; allowed: " + fault.allowed;
        if (!fault.hint.empty())
            text += "; did you mean \"" + fault.hint + "\"?";
        html.element("p", text, { { "class", "problem" } });
    }
    return html;
}

/// \brief Renders the fields of one section, each with its label, input control, fault messages and help text.
class FieldRenderer {
public:
    FieldRenderer(const Draft& draft, std::size_t index, const document::Faults& faults)
        : draft(draft)
        , section(draft.sections[index])
        , prefix(std::to_string(index))
        , faults(faults)
    {
    }

    [[nodiscard]] Html nameField(bool isFocused) const
    {
        Attributes extraAttributes;
        if (isFocused)
            extraAttributes.emplace_back("autofocus", "");
        const auto id = "s" + this->prefix;
        Html html;
        html.open("div").open("label", { { "for", id } }).text("name ");
        html.element("span", "required", { { "class", "must" } }).close("label");
        html.add(this->input(id, this->prefix + ":name", this->section.name, "", extraAttributes, false));
        html.element("p", "Name of this section; other sections refer to it. Letters, digits, \"-\", \"_\" and \".\".",
            { { "class", "help" } });
        return html.close("div");
    }

    [[nodiscard]] Html field(const Field& field) const
    {
        const auto id = "s" + this->prefix + "-" + std::string(field.key);
        const auto messages = faultMessages(this->faults, field.key);
        Html html;
        html.open("div").open("label", { { "for", id } }).text(std::string(field.key) + " ");
        if (field.presence == Presence::Required)
            html.element("span", "required", { { "class", "must" } });
        html.close("label");
        html.add(this->control(field, id, !messages.isEmpty())).add(messages);
        html.element("p", this->help(field), { { "class", "help" } });
        return html.close("div");
    }

    /// \brief Field for a key that is not in the schema. Submitting it empty removes the key.
    [[nodiscard]] Html unknownField(const std::string& key, const std::string& value) const
    {
        const auto id = "s" + this->prefix + "-" + key;
        const auto messages = faultMessages(this->faults, key);
        Html html;
        html.open("div").element("label", key, { { "for", id } });
        html.add(this->input(id, this->prefix + "." + key, value, "", {}, !messages.isEmpty())).add(messages);
        html.element("p", "This key is not known. Empty the field to remove it.", { { "class", "help" } });
        return html.close("div");
    }

private:
    [[nodiscard]] Html input(const std::string& id, const std::string& name, const std::string& value,
        const std::string& placeholder, Attributes extraAttributes, bool isInvalid) const
    {
        Attributes attributes { { "type", "text" }, { "id", id }, { "name", name }, { "value", value },
            { "autocomplete", "off" }, { "spellcheck", "false" } };
        if (!placeholder.empty())
            attributes.emplace_back("placeholder", placeholder);
        if (isInvalid)
            attributes.emplace_back("aria-invalid", "true");
        attributes.insert(attributes.end(), extraAttributes.begin(), extraAttributes.end());
        Html html;
        return html.voidElement("input", attributes);
    }

    [[nodiscard]] Html control(const Field& field, const std::string& id, bool isInvalid) const
    {
        const auto name = this->prefix + "." + std::string(field.key);
        const auto& value = this->section.value(field.key);
        if (field.type == ValueType::Choice || field.type == ValueType::Boolean)
            return this->select(field, id, name, this->choices(field), isInvalid);
        if (field.type == ValueType::Name && !field.refersTo.empty()) {
            const auto names = sectionNames(this->draft, field.refersTo);
            if (names.size() <= maxOfferedNames)
                return this->select(field, id, name, names, isInvalid);
        }
        // An invalid value is not a usable hash, so it is shown in full for the operator to correct.
        if (field.visibility == document::Visibility::Redacted && !value.empty() && !isInvalid) {
            const auto placeholder = value.substr(0, shownHashCharacters) + "... (kept while this is empty)";
            return this->input(id, name, "", placeholder, {}, isInvalid);
        }
        const auto placeholder = field.defaultValue.empty() ? "" : "default: " + std::string(field.defaultValue);
        Attributes extraAttributes;
        if (field.type == ValueType::Integer)
            extraAttributes.emplace_back("inputmode", "numeric");
        return this->input(id, name, value, placeholder, extraAttributes, isInvalid);
    }

    [[nodiscard]] static std::vector<std::string> choices(const Field& field)
    {
        if (field.type == ValueType::Boolean)
            return { "true", "false" };
        const auto words = document::choicesOf(field);
        return { words.begin(), words.end() };
    }

    [[nodiscard]] Html select(const Field& field, const std::string& id, const std::string& name,
        std::vector<std::string> options, bool isInvalid) const
    {
        const auto& value = this->section.value(field.key);
        if (!value.empty() && std::find(options.begin(), options.end(), value) == options.end())
            options.push_back(value);
        Attributes attributes { { "id", id }, { "name", name } };
        if (isInvalid)
            attributes.emplace_back("aria-invalid", "true");
        const bool isRequired = field.presence == Presence::Required;
        const auto emptyOptionText = isRequired ? std::string("choose")
            : field.defaultValue.empty()        ? std::string("none")
                                                : "default: " + std::string(field.defaultValue);
        Html html;
        html.open("select", attributes).element("option", emptyOptionText, { { "value", "" } });
        for (const auto& option : options) {
            Attributes optionAttributes { { "value", option } };
            if (option == value)
                optionAttributes.emplace_back("selected", "");
            html.element("option", option, optionAttributes);
        }
        return html.close("select");
    }

    [[nodiscard]] std::string help(const Field& field) const
    {
        auto text = std::string(field.help) + " Allowed: " + document::allowedValues(field) + '.';
        if (field.type == ValueType::NameList && !field.refersTo.empty()) {
            const auto names = sectionNames(this->draft, field.refersTo);
            if (!names.empty())
                text += " Present: " + joinNames(names) + '.';
        }
        return text;
    }

    const Draft& draft;
    const DraftSection& section;
    std::string prefix;
    const document::Faults& faults;
};

std::string sectionTitle(const DraftSection& section)
{
    if (!section.name.empty())
        return section.heading();
    const auto* const rule = document::documentSchema().find(section.kind);
    return rule != nullptr && isNamed(*rule) ? "new " + section.kind : section.kind;
}

bool canRemoveSection(const Draft& draft, const DraftSection& section)
{
    const auto* const rule = document::documentSchema().find(section.kind);
    if (rule == nullptr || rule->occurrence != document::Occurrence::Once)
        return true;
    return std::count_if(draft.sections.begin(), draft.sections.end(), [&section](const DraftSection& each) {
        return each.kind == section.kind;
    }) > 1;
}

} // namespace

Html sectionFields(const Draft& draft, std::size_t index, const document::Faults& faults, bool isFocused)
{
    const auto& section = draft.sections[index];
    const auto* const rule = document::documentSchema().find(section.kind);
    const FieldRenderer form(draft, index, faults);
    Html html;
    html.open("section", { { "class", faults.empty() ? "part" : "part has-fault" } });
    html.open("div", { { "class", "part-head" } }).element("h3", sectionTitle(section));
    if (canRemoveSection(draft, section)) {
        html.element("button", "Remove",
            { { "class", "danger quiet" }, { "name", "do" }, { "value", "remove " + std::to_string(index) },
                { "aria-label", "Remove " + sectionTitle(section) } });
    }
    html.close("div").add(faultMessages(faults, "")).open("div", { { "class", "fields" } });
    if ((rule != nullptr && isNamed(*rule)) || !section.name.empty())
        html.add(form.nameField(isFocused));
    if (rule != nullptr) {
        for (const auto& field : rule->fields)
            html.add(form.field(field));
    }
    for (const auto& [key, value] : section.values) {
        if (rule == nullptr || rule->find(key) == nullptr)
            html.add(form.unknownField(key, value));
    }
    return html.close("div").close("section");
}

} // namespace lagoontiller::operators
