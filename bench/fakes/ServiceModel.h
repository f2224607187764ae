#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lagoontiller::fakes {

/// \brief One execution of a call.
struct LedgerEntry {
    std::uint64_t sequence = 0;
    std::string requestId;
    std::string idempotencyKey;
    std::string path;
    /// \brief core::digestHex() of the body.
    std::string digest;
    [[nodiscard]] bool operator==(const LedgerEntry&) const = default;
};

/// \brief A service that executes every request, without deduplication by idempotency key.
class ServiceModel {
public:
    /// \brief Records an execution and returns its entry.
    const LedgerEntry& execute(
        const std::string& requestId, const std::string& key, const std::string& path, const std::string& body);
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const noexcept { return this->entries; }

private:
    std::vector<LedgerEntry> entries;
};

} // namespace lagoontiller::fakes
