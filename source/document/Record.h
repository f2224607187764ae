#pragma once

#include "document/Schema.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Value of a key as written and in canonical form; no canonical form when the value was refused.
struct RecordValue {
    std::string raw;
    std::optional<std::string> canonical;
    int line = 0;
    int column = 0;
};

/// \brief One section after the check against its rule. Readers give the default of a key that is absent or refused.
class Record {
public:
    Record(const SectionRule& rule, std::string name, int line, int column)
        : rule(&rule)
        , sectionName(std::move(name))
        , sectionLine(line)
        , sectionColumn(column)
    {
    }

    [[nodiscard]] const SectionRule& sectionRule() const noexcept { return *this->rule; }
    [[nodiscard]] std::string_view kind() const noexcept { return this->rule->kind; }
    [[nodiscard]] const std::string& name() const noexcept { return this->sectionName; }
    [[nodiscard]] std::string heading() const;
    [[nodiscard]] int line() const noexcept { return this->sectionLine; }
    [[nodiscard]] int column() const noexcept { return this->sectionColumn; }

    void add(std::string_view key, RecordValue value) { this->values.emplace(key, std::move(value)); }
    /// \brief The value as written, or nothing when the key is absent.
    [[nodiscard]] const RecordValue* find(std::string_view key) const;
    /// \brief Whether the key is present with a value that was refused.
    [[nodiscard]] bool isRefused(std::string_view key) const;

    [[nodiscard]] std::string text(std::string_view key) const;
    [[nodiscard]] std::int64_t integer(std::string_view key) const;
    [[nodiscard]] double decimal(std::string_view key) const;
    [[nodiscard]] bool boolean(std::string_view key) const;
    [[nodiscard]] std::vector<std::string> list(std::string_view key) const;

private:
    const SectionRule* rule;
    std::string sectionName;
    int sectionLine;
    int sectionColumn;
    std::map<std::string, RecordValue, std::less<>> values;
};

/// \brief The first section of the kind; a record with defaults only when there is none.
[[nodiscard]] Record firstOfKind(const std::vector<Record>& records, const SectionRule& rule);

} // namespace lagoontiller::document
