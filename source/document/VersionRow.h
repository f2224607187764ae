#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Version number of an accepted document; 0 means no document.
using DocumentVersion = std::uint64_t;

/// \brief Key of the row that holds the number of the current version.
inline constexpr std::string_view currentRowKey = "document/current";

/// \brief Key of the row of one version. The number is zero-padded to 10 digits, so that key order is version order.
[[nodiscard]] std::string versionRowKey(DocumentVersion version);

/// \brief Value of the row `document/current`.
struct CurrentRow {
    DocumentVersion version = 0;
    std::string acceptanceId;
    [[nodiscard]] bool operator==(const CurrentRow&) const = default;
};

/// \brief Value of a row `document/version/<n>`. The row is immutable once written.
struct VersionRow {
    DocumentVersion version = 0;
    DocumentVersion base = 0;
    std::string text;
    std::string author;
    /// \brief Acceptance time in milliseconds since the Unix epoch, by the clock of the accepting node.
    std::int64_t unixMs = 0;
    std::string acceptanceId;
    /// \brief Changes from the base as JSON, with key salts and hashes truncated.
    std::string differenceJson;
    [[nodiscard]] bool operator==(const VersionRow&) const = default;
};

[[nodiscard]] std::string encode(const CurrentRow& row);
[[nodiscard]] std::string encode(const VersionRow& row);

/// \brief Fails with `Internal` if the value is not valid JSON, lacks a field or has a field of the wrong type.
[[nodiscard]] core::Expected<CurrentRow> decodeCurrentRow(std::string_view value);
[[nodiscard]] core::Expected<VersionRow> decodeVersionRow(std::string_view value);

} // namespace lagoontiller::document
