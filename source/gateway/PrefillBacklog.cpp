#include "gateway/PrefillBacklog.h"

#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace lagoontiller::gateway {

namespace {

/// \brief Shorter prompts show the duration of the engine's steps and the network rather than the reading rate.
constexpr std::uint64_t minMeasuredTokens = 4'000;
/// \brief Relative steps of the learned rate; their ratio makes it the 80th percentile of the measured rates, because
/// prompts of other nodes and tokens of running calls only ever slow down the reading.
constexpr double rateIncrease = 0.04;
constexpr double rateDecrease = 0.01;
/// \brief Longest backlog that reports of other nodes make up; the time-outs of most routes are of this order.
constexpr core::Duration maxReported = std::chrono::seconds(4);

} // namespace

PromptChain promptChain(std::span<const PromptPart> parts, std::uint32_t promptTokens, std::uint64_t program)
{
    PromptChain chain;
    std::uint64_t key = 0;
    for (const auto& part : parts) {
        key = core::combine(key, core::hash64(part.id, part.tokens));
        chain.prefixes.push_back({ key, part.tokens });
        chain.tokens += part.tokens;
    }
    chain.tokens = std::max<std::uint64_t>(chain.tokens, promptTokens);
    if (chain.prefixes.empty() && program != 0 && promptTokens > 0)
        chain.prefixes.push_back({ program, promptTokens });
    return chain;
}

std::uint64_t PromptCacheEstimate::cachedTokens(const PromptChain& chain) const
{
    std::uint64_t cached = 0;
    for (const auto& prefix : chain.prefixes) {
        const auto found = this->byKey.find(prefix.key);
        if (found == this->byKey.end())
            break;
        cached += std::min(found->second->tokens, prefix.tokens);
    }
    return cached;
}

std::vector<std::uint64_t> PromptCacheEstimate::store(const PromptChain& chain, std::uint64_t maxTokens)
{
    std::vector<std::uint64_t> newKeys;
    // The first part becomes the most recent one, so that chains lose their ends first.
    const auto count = std::min(chain.prefixes.size(), maxPrefixes);
    for (auto index = count; index-- > 0;) {
        const auto& prefix = chain.prefixes[index];
        const auto found = this->byKey.find(prefix.key);
        if (found == this->byKey.end()) {
            this->order.push_front(prefix);
            this->byKey.emplace(prefix.key, this->order.begin());
            newKeys.push_back(prefix.key);
        } else {
            this->totalTokens -= found->second->tokens;
            found->second->tokens = prefix.tokens;
            this->order.splice(this->order.begin(), this->order, found->second);
        }
        this->totalTokens += prefix.tokens;
    }
    while (this->order.size() > count
        && (this->order.size() > maxPrefixes || (maxTokens > 0 && this->totalTokens > maxTokens)))
        this->forget(this->order.back().key);
    return newKeys;
}

void PromptCacheEstimate::forget(std::uint64_t key)
{
    const auto found = this->byKey.find(key);
    if (found == this->byKey.end())
        return;
    this->totalTokens -= found->second->tokens;
    this->order.erase(found->second);
    this->byKey.erase(found);
}

void PrefillBacklog::reported(std::uint64_t uncachedTokens, double tokensPerMs, core::TimePoint now)
{
    const core::Duration reading(static_cast<std::int64_t>(
        static_cast<double>(std::min(uncachedTokens, maxUncachedTokens)) / tokensPerMs * 1'000));
    this->reportedUntil = std::min(std::max(this->reportedUntil, now) + reading, now + maxReported);
}

double PrefillBacklog::reportedMs(core::TimePoint now) const
{
    return std::max(0.0, static_cast<double>((this->reportedUntil - now).count()) / 1'000);
}

WaitingPrompt::WaitingPrompt(std::shared_ptr<PrefillBacklog> endpointBacklog, const PromptChain& chain,
    std::uint64_t cachedTokens, std::uint64_t maxCachedTokens, core::TimePoint now)
    : backlog(std::move(endpointBacklog))
    , sentAt(now)
{
    this->uncachedTokens = std::min(chain.tokens - std::min(chain.tokens, cachedTokens), maxUncachedTokens);
    this->hadBacklog = this->backlog->tokens > 0;
    this->newKeys = this->backlog->cache.store(chain, maxCachedTokens);
    this->backlog->tokens += this->uncachedTokens;
    ++this->backlog->calls;
}

WaitingPrompt::WaitingPrompt(WaitingPrompt&& other) noexcept
    : backlog(std::move(other.backlog))
    , uncachedTokens(other.uncachedTokens)
    , hadBacklog(other.hadBacklog)
    , newKeys(std::move(other.newKeys))
    , sentAt(other.sentAt)
{
}

WaitingPrompt& WaitingPrompt::operator=(WaitingPrompt&& other) noexcept
{
    std::swap(this->backlog, other.backlog);
    std::swap(this->uncachedTokens, other.uncachedTokens);
    std::swap(this->hadBacklog, other.hadBacklog);
    std::swap(this->newKeys, other.newKeys);
    std::swap(this->sentAt, other.sentAt);
    return *this;
}

WaitingPrompt::~WaitingPrompt()
{
    if (!this->backlog)
        return;
    for (const auto key : this->newKeys)
        this->backlog->cache.forget(key);
    this->leaveBacklog();
}

std::optional<double> WaitingPrompt::firstEvent(core::TimePoint now)
{
    if (!this->backlog)
        return std::nullopt;
    this->leaveBacklog();
    const auto tookMs = static_cast<double>((now - this->sentAt).count()) / 1'000;
    if (this->hadBacklog || this->uncachedTokens < minMeasuredTokens || tookMs <= 0)
        return std::nullopt;
    return static_cast<double>(this->uncachedTokens) / tookMs;
}

void WaitingPrompt::leaveBacklog()
{
    this->backlog->tokens -= this->uncachedTokens;
    --this->backlog->calls;
    this->backlog.reset();
}

void PrefillRate::record(double tokensPerMs)
{
    // A prompt that another node's calls have cached there seems to be read at any rate.
    if (tokensPerMs > 2 * maxTokensPerMs)
        return;
    this->rate *= tokensPerMs > this->rate ? 1 + rateIncrease : 1 - rateDecrease;
    this->rate = std::clamp(this->rate, minTokensPerMs, maxTokensPerMs);
}

std::size_t NoticeAllowance::take(std::size_t wanted, core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - this->updatedAt).count();
    this->updatedAt = now;
    this->left = std::min(burst, this->left + std::max(0.0, seconds) * perSecond);
    const auto taken = std::min(wanted, static_cast<std::size_t>(this->left));
    this->left -= static_cast<double>(taken);
    return taken;
}

} // namespace lagoontiller::gateway
