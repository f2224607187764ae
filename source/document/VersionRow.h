#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Number of an accepted document; 0 stands for no document.
using DocumentVersion = std::uint64_t;

/// \brief Key of the row that names the version in force.
inline constexpr std::string_view currentRowKey = "document/current";

/// \brief Key of the row of one version. The number has 10 digits, so that rows in key order are in version order.
[[nodiscard]] std::string versionRowKey(DocumentVersion version);

/// \brief Value of the row `document/current`.
struct CurrentRow {
    DocumentVersion version = 0;
    std::string acceptanceId;
    [[nodiscard]] bool operator==(const CurrentRow&) const = default;
};

/// \brief Value of a row `document/version/<n>`. It is written once and never changed.
struct VersionRow {
    DocumentVersion version = 0;
    DocumentVersion base = 0;
    std::string text;
    std::string author;
    /// \brief Milliseconds since the Unix epoch, by the clock of the node that accepted the version.
    std::int64_t unixMs = 0;
    std::string acceptanceId;
    /// \brief JSON of the changes from the base, with key hashes cut short.
    std::string differenceJson;
    [[nodiscard]] bool operator==(const VersionRow&) const = default;
};

[[nodiscard]] std::string encode(const CurrentRow& row);
[[nodiscard]] std::string encode(const VersionRow& row);

/// \brief Fails with `Internal` when the value is not what `encode` writes.
[[nodiscard]] core::Expected<CurrentRow> decodeCurrentRow(std::string_view value);
[[nodiscard]] core::Expected<VersionRow> decodeVersionRow(std::string_view value);

} // namespace lagoontiller::document
