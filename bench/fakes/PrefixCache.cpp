#include "bench/fakes/PrefixCache.h"

#include "bench/fakes/EngineText.h"
#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::fakes {

CachedPrefix hashPrefix(std::string_view serialised)
{
    constexpr auto blockBytes = tokensPerBlock * bytesPerToken;
    CachedPrefix prefix;
    std::uint64_t chain = 0;
    for (std::size_t start = 0; start + blockBytes <= serialised.size(); start += blockBytes) {
        chain = core::combine(chain, core::hash64(serialised.substr(start, blockBytes)));
        prefix.blocks.push_back(chain);
    }
    return prefix;
}

std::uint64_t PrefixCache::match(const std::string& program, const CachedPrefix& prompt, core::TimePoint now)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return 0;
    found->second.lastUse = now;
    const auto& blocks = found->second.prefix.blocks;
    const auto common = std::min(blocks.size(), prompt.blocks.size());
    const auto end = blocks.begin() + static_cast<std::ptrdiff_t>(common);
    const auto difference = std::mismatch(blocks.begin(), end, prompt.blocks.begin()).first;
    return static_cast<std::uint64_t>(difference - blocks.begin()) * tokensPerBlock;
}

void PrefixCache::store(
    const std::string& program, CachedPrefix prefix, core::TimePoint now, std::vector<CacheChange>& changes)
{
    auto& entry = this->entries[program];
    this->total -= entry.prefix.tokens();
    this->total += prefix.tokens();
    changes.push_back({ CacheChange::Kind::Stored, program, prefix.tokens() });
    entry = Entry { std::move(prefix), now };
}

bool PrefixCache::drop(const std::string& program, std::vector<CacheChange>& changes)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return false;
    const auto tokens = found->second.prefix.tokens();
    this->total -= tokens;
    changes.push_back({ CacheChange::Kind::Evicted, program, tokens });
    this->entries.erase(found);
    return true;
}

bool PrefixCache::shrink(std::uint64_t limit, std::vector<CacheChange>& changes)
{
    while (this->total > limit) {
        auto oldest = this->entries.end();
        for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
            if (this->pins.contains(entry->first))
                continue;
            if (oldest == this->entries.end() || entry->second.lastUse < oldest->second.lastUse)
                oldest = entry;
        }
        if (oldest == this->entries.end())
            return false;
        this->drop(std::string(oldest->first), changes);
    }
    return true;
}

void PrefixCache::pin(const std::string& program)
{
    ++this->pins[program];
}

void PrefixCache::unpin(const std::string& program)
{
    const auto found = this->pins.find(program);
    if (found != this->pins.end() && --found->second == 0)
        this->pins.erase(found);
}

std::optional<CachedPrefix> PrefixCache::find(const std::string& program) const
{
    const auto found = this->entries.find(program);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.prefix);
}

std::vector<std::string> PrefixCache::programs() const
{
    std::vector<std::string> names;
    for (const auto& [program, entry] : this->entries)
        names.push_back(program);
    return names;
}

} // namespace lagoontiller::fakes
