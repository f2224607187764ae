#pragma once

#include "core/Hash.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace lagoontiller::transport {

/// \brief Identifiers of the requests that one connection has carried.
///
/// A late second response is told from the expected one by the identifier that it repeats. An identifier that was sent
/// twice on a connection no longer tells the responses to the two requests apart.
class SentIdentifiers {
public:
    /// \brief Number of identifiers, of 8 bytes each, after which a connection should be replaced.
    static constexpr std::size_t maxCount = 1'024;

    void add(std::string_view identifier) { this->hashes.push_back(core::hash64(identifier)); }
    /// \brief Whether the identifier was added. True for about one other identifier in 2^54, too.
    [[nodiscard]] bool contains(std::string_view identifier) const
    {
        return std::find(this->hashes.begin(), this->hashes.end(), core::hash64(identifier)) != this->hashes.end();
    }
    [[nodiscard]] bool full() const noexcept { return this->hashes.size() >= maxCount; }

private:
    std::vector<std::uint64_t> hashes;
};

} // namespace lagoontiller::transport
