#pragma once

#include "document/Schema.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Value of a key as in the source text and in canonical form, which is absent if the value is invalid.
struct RecordValue {
    std::string raw;
    std::optional<std::string> canonical;
    int line = 0;
    int column = 0;
};

/// \brief One section after validation against its rule. The typed getters return the field's default if the key is
/// absent or its value is invalid.
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
    /// \brief The value with its source text and position, or null if the key is absent.
    [[nodiscard]] const RecordValue* find(std::string_view key) const;
    /// \brief Whether the key is present but its value is invalid.
    [[nodiscard]] bool isInvalid(std::string_view key) const;

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

/// \brief Returns the first section of the kind, or a record that has only defaults if there is none.
[[nodiscard]] Record firstOfKind(const std::vector<Record>& records, const SectionRule& rule);

} // namespace lagoontiller::document
