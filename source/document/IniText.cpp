#include "document/IniText.h"

#include "document/impl/StringUtil.h"
#include "document/impl/Utf8.h"

#include <algorithm>
#include <ini.h>
#include <mutex>
#include <optional>

namespace lagoontiller::document {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

// By default, inih limits lines to 200 bytes and treats the rest of a longer line as a separate line.
void configureInih()
{
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_max_line = static_cast<int>(maxLineBytes) + 3;
        ini_initial_alloc = ini_max_line;
    });
}

struct KeyAndValue {
    std::string key;
    std::string value;
};

int handleEntry(void* user, const char*, const char* key, const char* value)
{
    *static_cast<std::optional<KeyAndValue>*>(user) = KeyAndValue { key, value };
    return 1;
}

std::optional<KeyAndValue> parseEntry(std::string_view line)
{
    std::optional<KeyAndValue> entry;
    const int status = ini_parse_string(std::string(line).c_str(), handleEntry, &entry);
    return status == 0 ? entry : std::nullopt;
}

class IniReader {
public:
    IniText read(std::string_view text)
    {
        if (text.size() > maxTextBytes) {
            this->addFault(1, "the text has " + std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(maxTextBytes) + " bytes");
            return std::move(this->result);
        }
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
        while (!text.empty() && !this->isLimitReached()) {
            const auto end = text.find('\n');
            this->readLine(text.substr(0, end));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        return std::move(this->result);
    }

private:
    [[nodiscard]] bool isLimitReached() const noexcept
    {
        return this->result.faults.size() >= maxFaults || this->result.sections.size() > maxSections;
    }

    void addFault(int column, std::string problem, std::string allowed)
    {
        const auto section = this->result.sections.empty() ? std::string() : this->result.sections.back().heading();
        this->result.faults.push_back({ this->line, column, section, "", std::move(problem), std::move(allowed), "" });
    }

    void readLine(std::string_view bytes)
    {
        ++this->line;
        if (bytes.ends_with('\r'))
            bytes.remove_suffix(1);
        if (bytes.size() > maxLineBytes) {
            this->addFault(1, "the line has " + std::to_string(bytes.size()) + " bytes",
                "at most " + std::to_string(maxLineBytes) + " bytes");
            return;
        }
        if (const auto offset = firstInvalidCharacter(bytes)) {
            this->addFault(
                columnAt(bytes, *offset), "a byte that is not UTF-8 text", "UTF-8 without control characters");
            return;
        }
        const auto content = trimmed(bytes);
        if (content.empty() || content.front() == ';' || content.front() == '#')
            return;
        if (content.front() == '[')
            this->readHeading(bytes);
        else
            this->readEntry(bytes);
    }

    void readHeading(std::string_view bytes)
    {
        const auto start = bytes.find('[');
        const auto end = bytes.find(']', start);
        const int column = columnAt(bytes, start);
        // The section is kept despite the fault, so that its keys are not attributed to the preceding section.
        if (end == std::string_view::npos)
            this->addFault(column, "the heading has no closing bracket", "[KIND] or [KIND NAME]");
        const auto rest = end == std::string_view::npos ? std::string_view() : trimmed(bytes.substr(end + 1));
        if (!rest.empty() && rest.front() != ';' && rest.front() != '#')
            this->addFault(columnAt(bytes, end + 1), "text after the heading", "a comment that starts with ; or #");
        const auto headingText = trimmed(bytes.substr(start + 1, std::min(end, bytes.size()) - start - 1));
        const auto kind = headingText.substr(0, headingText.find_first_of(blanks));
        const auto name = trimmed(headingText.substr(kind.size()));
        if (this->result.sections.size() == maxSections) {
            this->addFault(column, "too many sections", "at most " + std::to_string(maxSections));
        }
        this->result.sections.push_back({ std::string(kind), std::string(name), this->line, column, {} });
    }

    void readEntry(std::string_view bytes)
    {
        const auto start = bytes.find_first_not_of(blanks);
        const int column = columnAt(bytes, start);
        auto entry = parseEntry(bytes);
        if (!entry || entry->key.empty()) {
            this->addFault(column, "the line is neither a heading nor a key with a value", "key = value");
            return;
        }
        const auto delimiter = bytes.find_first_of("=:");
        if (trimmed(bytes.substr(0, delimiter)).size() > maxKeyBytes) {
            this->addFault(column, "the key is too long", "at most " + std::to_string(maxKeyBytes) + " bytes");
            return;
        }
        if (this->result.sections.empty()) {
            this->addFault(column, "the key \"" + entry->key + "\" stands before the first section", "a heading first");
            return;
        }
        const auto value = bytes.find_first_not_of(blanks, delimiter + 1);
        const int valueColumn = columnAt(bytes, value == std::string_view::npos ? bytes.size() : value);
        this->result.sections.back().entries.push_back(
            { std::move(entry->key), std::move(entry->value), this->line, column, valueColumn });
    }

    IniText result;
    int line = 0;
};

} // namespace

std::string headingOf(std::string_view kind, std::string_view name)
{
    std::string heading(kind);
    if (!name.empty())
        heading.append(" ").append(name);
    return heading;
}

std::string IniSection::heading() const
{
    return headingOf(this->kind, this->name);
}

IniText readIni(std::string_view text)
{
    configureInih();
    return IniReader().read(text);
}

} // namespace lagoontiller::document
