#include "operators/Draft.h"

#include "document/Check.h"
#include "document/IniText.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

namespace {

using document::documentSchema;
using nlohmann::json;

std::size_t schemaPosition(std::string_view kind)
{
    const auto rules = documentSchema().sections();
    const auto found = std::find_if(rules.begin(), rules.end(), [kind](const auto& rule) { return rule.kind == kind; });
    return static_cast<std::size_t>(found - rules.begin());
}

// Replaces control characters with spaces and trims spaces: a line break in a value would add lines to the document.
std::string singleLine(std::string text)
{
    const auto isControl = [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte < 0x20 || byte == 0x7F;
    };
    std::replace_if(text.begin(), text.end(), isControl, ' ');
    const auto first = text.find_first_not_of(' ');
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

struct PrintedDraft {
    std::string text;
    /// \brief Line number of each section's heading, starting at 1.
    std::vector<int> headingLines;
};

class DraftPrinter {
public:
    // The checker reports faults that belong to no section at line 1. An empty first line keeps them apart from the
    // faults of the first section.
    explicit DraftPrinter(bool leavesFirstLineEmpty)
    {
        if (leavesFirstLineEmpty)
            this->add("");
    }

    void add(const DraftSection& section)
    {
        if (this->line > 1)
            this->add("");
        this->result.headingLines.push_back(this->line);
        this->add('[' + section.heading() + ']');
        const auto* const rule = documentSchema().find(section.kind);
        if (rule != nullptr) {
            for (const auto& field : rule->fields)
                this->addValue(std::string(field.key), section.value(field.key));
        }
        for (const auto& [key, value] : section.values) {
            if (rule == nullptr || rule->find(key) == nullptr)
                this->addValue(key, value);
        }
    }

    [[nodiscard]] PrintedDraft take() { return std::move(this->result); }

private:
    void addValue(const std::string& key, const std::string& value)
    {
        if (!value.empty())
            this->add(key + " = " + value);
    }

    void add(const std::string& content)
    {
        this->result.text += content + '\n';
        ++this->line;
    }

    PrintedDraft result;
    int line = 1;
};

PrintedDraft print(const Draft& draft, bool leavesFirstLineEmpty)
{
    DraftPrinter printer(leavesFirstLineEmpty);
    for (const auto& section : draft.sections)
        printer.add(section);
    return printer.take();
}

// Reports values that change when the printed text is parsed again. inih treats a semicolon after a space as the start
// of a comment and truncates the value there without an error.
void checkRoundTrip(const Draft& draft, const std::string& text, document::Faults& faults)
{
    const auto ini = document::readIni(text);
    if (ini.sections.size() != draft.sections.size())
        return;
    for (std::size_t index = 0; index < ini.sections.size(); ++index) {
        for (const auto& entry : ini.sections[index].entries) {
            if (entry.value == draft.sections[index].value(entry.key))
                continue;
            faults.push_back({ entry.line, entry.valueColumn, ini.sections[index].heading(), entry.key,
                "the value would be cut short to \"" + entry.value + '"', "no semicolon after a blank", "" });
        }
    }
}

std::optional<std::pair<std::size_t, std::string>> parseFieldName(std::string_view name, char separator)
{
    std::size_t index = 0;
    const auto [rest, error] = std::from_chars(name.data(), name.data() + name.size(), index);
    const auto used = static_cast<std::size_t>(rest - name.data());
    if (error != std::errc() || used >= name.size() || name[used] != separator)
        return std::nullopt;
    return std::pair(index, std::string(name.substr(used + 1)));
}

void applyValue(DraftSection& section, const std::string& key, const std::string& value)
{
    const auto* const rule = documentSchema().find(section.kind);
    const auto* const field = rule == nullptr ? nullptr : rule->find(key);
    // The form only shows keys of the schema and of the section; ignore any other key.
    if (field == nullptr && !section.values.contains(key))
        return;
    if (!value.empty())
        section.values[key] = value;
    else if (field == nullptr || field->visibility == document::Visibility::Full)
        section.values.erase(key);
}

} // namespace

const std::string& DraftSection::value(std::string_view key) const
{
    static const std::string absent;
    const auto found = this->values.find(key);
    return found == this->values.end() ? absent : found->second;
}

std::string DraftSection::heading() const
{
    return document::headingOf(this->kind, this->name);
}

Draft parseDraft(std::string_view text, document::DocumentVersion baseVersion, document::Faults& faults)
{
    auto ini = document::readIni(text);
    faults.insert(faults.end(), ini.faults.begin(), ini.faults.end());
    Draft draft { baseVersion, {} };
    for (auto& section : ini.sections) {
        DraftSection draftSection { section.kind, section.name, {} };
        for (auto& entry : section.entries) {
            if (!draftSection.values.emplace(entry.key, singleLine(entry.value)).second) {
                faults.push_back({ entry.line, entry.keyColumn, section.heading(), entry.key,
                    "duplicate key in the section", "each key once", "" });
            }
        }
        draft.sections.push_back(std::move(draftSection));
    }
    std::stable_sort(draft.sections.begin(), draft.sections.end(),
        [](const auto& left, const auto& right) { return schemaPosition(left.kind) < schemaPosition(right.kind); });
    return draft;
}

Draft initialDraft()
{
    Draft draft;
    for (const auto& rule : documentSchema().sections()) {
        const bool isRequired = rule.occurrence == document::Occurrence::Once
            || rule.occurrence == document::Occurrence::NamedAtLeastOnce;
        if (isRequired)
            draft.sections.push_back({ std::string(rule.kind), "", {} });
    }
    return draft;
}

std::string formatDraft(const Draft& draft)
{
    return print(draft, false).text;
}

std::string encodeDraft(const Draft& draft)
{
    auto sections = json::array();
    for (const auto& section : draft.sections)
        sections.push_back({ section.kind, section.name, section.values });
    const json root { { "base", draft.baseVersion }, { "sections", std::move(sections) } };
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::Expected<Draft> decodeDraft(std::string_view text)
{
    try {
        const auto root = json::parse(text);
        Draft draft;
        root.at("base").get_to(draft.baseVersion);
        for (const auto& each : root.at("sections")) {
            DraftSection section { singleLine(each.at(0).get<std::string>()), singleLine(each.at(1).get<std::string>()),
                {} };
            for (const auto& [key, value] : each.at(2).items())
                section.values.emplace(singleLine(key), singleLine(value.get<std::string>()));
            draft.sections.push_back(std::move(section));
        }
        return draft;
    } catch (const json::exception&) {
        return core::failure(core::ResultCode::InvalidField, "the draft field of the form is malformed");
    }
}

void applyFields(Draft& draft, const FormData& form)
{
    for (const auto& [name, value] : form.fields()) {
        if (const auto heading = parseFieldName(name, ':')) {
            const auto& [index, suffix] = *heading;
            if (suffix == "name" && index < draft.sections.size())
                draft.sections[index].name = singleLine(value);
        } else if (const auto field = parseFieldName(name, '.')) {
            const auto& [index, key] = *field;
            if (index < draft.sections.size())
                applyValue(draft.sections[index], key, singleLine(value));
        }
    }
}

std::size_t addSection(Draft& draft, std::string_view kind)
{
    const auto order = schemaPosition(kind);
    const auto insertBefore = std::find_if(draft.sections.begin(), draft.sections.end(),
        [order](const DraftSection& section) { return schemaPosition(section.kind) > order; });
    const auto added = draft.sections.insert(insertBefore, { std::string(kind), "", {} });
    return static_cast<std::size_t>(added - draft.sections.begin());
}

std::size_t DraftFaults::count() const noexcept
{
    std::size_t result = this->general.size();
    for (const auto& [index, faults] : this->bySection)
        result += faults.size();
    return result;
}

DraftFaults checkDraft(const Draft& draft)
{
    const auto printed = print(draft, true);
    auto faults = document::check(printed.text);
    checkRoundTrip(draft, printed.text, faults);
    DraftFaults result;
    for (auto& fault : faults) {
        const auto next = std::upper_bound(printed.headingLines.begin(), printed.headingLines.end(), fault.line);
        if (next == printed.headingLines.begin())
            result.general.push_back(std::move(fault));
        else
            result.bySection[static_cast<std::size_t>(next - printed.headingLines.begin() - 1)].push_back(
                std::move(fault));
    }
    return result;
}

bool isNamed(const document::SectionRule& rule) noexcept
{
    return rule.occurrence == document::Occurrence::NamedAtLeastOnce
        || rule.occurrence == document::Occurrence::NamedAnyNumber;
}

} // namespace lagoontiller::operators
