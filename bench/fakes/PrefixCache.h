#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::fakes {

/// \brief Tokens per block of a prefix cache. Only whole blocks are cached.
inline constexpr std::uint64_t tokensPerBlock = 16;

/// \brief Chain of block hashes of one program's cached prompt; each hash covers all blocks before it.
struct CachedPrefix {
    std::vector<std::uint64_t> blocks;

    [[nodiscard]] std::uint64_t tokens() const noexcept { return this->blocks.size() * tokensPerBlock; }
    [[nodiscard]] bool operator==(const CachedPrefix&) const = default;
};

/// \brief Hashes the whole blocks of a serialised prompt.
[[nodiscard]] CachedPrefix hashPrefix(std::string_view serialised);

/// \brief Change of a prefix cache: `tokens` are those stored for the program now, or those that were evicted.
struct CacheChange {
    enum class Kind : int {
        Stored,
        Evicted,
    };
    Kind kind = Kind::Stored;
    std::string program;
    std::uint64_t tokens = 0;
    [[nodiscard]] bool operator==(const CacheChange&) const = default;
};

/// \brief Prefix caches of programs in an engine's memory; whole programs are evicted, the least recently used first.
class PrefixCache {
public:
    /// \brief Cached tokens at the start of `prompt`; marks the program as used.
    [[nodiscard]] std::uint64_t match(const std::string& program, const CachedPrefix& prompt, core::TimePoint now);
    /// \brief Replaces the cached prefix of a program.
    void store(const std::string& program, CachedPrefix prefix, core::TimePoint now, std::vector<CacheChange>& changes);
    /// \brief Drops the prefix of a program; returns whether there was one.
    bool drop(const std::string& program, std::vector<CacheChange>& changes);
    /// \brief Evicts programs with no pin until at most `limit` tokens are cached; returns whether that succeeded.
    bool shrink(std::uint64_t limit, std::vector<CacheChange>& changes);
    /// \brief A pinned program is not evicted. Pins are counted.
    void pin(const std::string& program);
    void unpin(const std::string& program);

    [[nodiscard]] std::optional<CachedPrefix> find(const std::string& program) const;
    /// \brief Tokens of all cached prefixes.
    [[nodiscard]] std::uint64_t tokens() const noexcept { return this->total; }
    [[nodiscard]] std::vector<std::string> programs() const;

private:
    struct Entry {
        CachedPrefix prefix;
        core::TimePoint lastUse;
    };

    std::map<std::string, Entry> entries;
    std::map<std::string, int> pins;
    std::uint64_t total = 0;
};

} // namespace lagoontiller::fakes
