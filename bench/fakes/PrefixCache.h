#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::fakes {

/// \brief Tokens per cache block. Only full blocks are cached.
inline constexpr std::uint64_t tokensPerBlock = 16;

/// \brief Chained block hashes of a program's cached prompt; each hash covers the block and all blocks before it.
struct CachedPrefix {
    std::vector<std::uint64_t> blocks;

    [[nodiscard]] std::uint64_t tokens() const noexcept { return this->blocks.size() * tokensPerBlock; }
    [[nodiscard]] bool operator==(const CachedPrefix&) const = default;
};

/// \brief Hashes the full blocks of a serialised prompt.
[[nodiscard]] CachedPrefix hashPrefix(std::string_view serialised);

/// \brief Change of a prefix cache; `tokens` is the number of tokens now stored or evicted for the program.
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

/// \brief Prefix cache of an engine with LRU eviction of whole programs.
class PrefixCache {
public:
    /// \brief Number of cached tokens at the start of `prompt`; updates the last use of the program.
    [[nodiscard]] std::uint64_t match(const std::string& program, const CachedPrefix& prompt, core::TimePoint now);
    /// \brief Replaces the cached prefix of a program.
    void store(const std::string& program, CachedPrefix prefix, core::TimePoint now, std::vector<CacheChange>& changes);
    /// \brief Drops the prefix of a program; returns whether there was one.
    bool drop(const std::string& program, std::vector<CacheChange>& changes);
    /// \brief Evicts unpinned programs until at most `limit` tokens are cached; returns false if that is impossible.
    bool shrink(std::uint64_t limit, std::vector<CacheChange>& changes);
    /// \brief Protects a program from eviction; each pin needs its own unpin().
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
