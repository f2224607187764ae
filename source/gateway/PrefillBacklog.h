#pragma once

#include "gateway/Types.h"

#include <list>
#include <span>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Maximum number of uncached tokens that count for one call. Callers state the sizes of their prompts; a false
/// one keeps calls from an endpoint for four seconds at most.
inline constexpr std::uint64_t maxUncachedTokens = 131'072;

/// \brief A long prompt that a node has sent to an endpoint, as other nodes of its zone learn of it.
struct LongPromptNotice {
    std::string endpoint;
    /// \brief Identifies the endpoint's process, like `Endpoint::startedAt`.
    std::int64_t endpointStartedAt = 0;
    std::uint64_t uncachedTokens = 0;
    [[nodiscard]] bool operator==(const LongPromptNotice&) const = default;
};

/// \brief A part of a prompt with all parts before it.
struct PromptPrefix {
    /// \brief Hash of the ids and sizes of all parts up to this one.
    std::uint64_t key = 0;
    /// \brief Tokens of this part alone.
    std::uint32_t tokens = 0;
    [[nodiscard]] bool operator==(const PromptPrefix&) const = default;
};

/// \brief The prompt of a call, as chain of parts that an engine may have cached.
struct PromptChain {
    std::vector<PromptPrefix> prefixes;
    /// \brief Tokens of the whole prompt, at least those of its parts.
    std::uint64_t tokens = 0;
    [[nodiscard]] bool operator==(const PromptChain&) const = default;
};

/// \brief The chain of the stated parts. A prompt without parts is one part that is named by `program`, if that is not
/// 0: the next turn of a program begins with the prompt of the last one.
[[nodiscard]] PromptChain promptChain(
    std::span<const PromptPart> parts, std::uint32_t promptTokens, std::uint64_t program);

/// \brief Estimates which prompts an engine has cached, from the calls that this node sent there.
///
/// Keeps the most recently used prefixes; a prefix counts only if all before it are kept.
class PromptCacheEstimate {
public:
    /// \brief Tokens at the start of the prompt that are expected to be cached.
    [[nodiscard]] std::uint64_t cachedTokens(const PromptChain& chain) const;
    /// \brief Records that the engine reads the prompt, and returns the keys that were not kept before. Forgets the
    /// least recently used prefixes beyond `maxTokens` (0: no limit) and `maxPrefixes`, but none of this prompt.
    std::vector<std::uint64_t> store(const PromptChain& chain, std::uint64_t maxTokens);
    void forget(std::uint64_t key);
    [[nodiscard]] std::size_t size() const noexcept { return this->byKey.size(); }
    [[nodiscard]] std::uint64_t tokens() const noexcept { return this->totalTokens; }

    /// \brief Bounds the memory to about 20 KB per engine.
    static constexpr std::size_t maxPrefixes = 256;

private:
    using Order = std::list<PromptPrefix>;

    /// \brief Most recently used first.
    Order order;
    std::unordered_map<std::uint64_t, Order::iterator> byKey;
    std::uint64_t totalTokens = 0;
};

/// \brief Prompts of this node's calls at one process of an endpoint.
///
/// Pattern: an engine reads prompts one after the other in chunks between the tokens of running calls. A few long
/// prompts delay the first events of all short ones behind them, while engines beside it have nothing to read.
class PrefillBacklog {
public:
    [[nodiscard]] std::uint64_t cachedTokens(const PromptChain& chain) const { return this->cache.cachedTokens(chain); }
    /// \brief Uncached tokens of the calls that have had no first event.
    [[nodiscard]] std::uint64_t waitingTokens() const noexcept { return this->tokens; }
    /// \brief Number of these calls.
    [[nodiscard]] std::uint32_t waitingCalls() const noexcept { return this->calls; }

    /// \brief Records that another node has sent a long prompt there.
    void reported(std::uint64_t uncachedTokens, double tokensPerMs, core::TimePoint now);
    /// \brief Expected time until the reported prompts are read; they are read one after the other.
    [[nodiscard]] double reportedMs(core::TimePoint now) const;

private:
    friend class WaitingPrompt;

    PromptCacheEstimate cache;
    core::TimePoint reportedUntil {};
    std::uint64_t tokens = 0;
    std::uint32_t calls = 0;
};

/// \brief A prompt that waits at an endpoint or is being read there; counts in its backlog until the first event or the
/// end of the attempt.
class WaitingPrompt {
public:
    WaitingPrompt() = default;
    /// \brief `cachedTokens` of the prompt are expected to be cached at the endpoint, whose cache keeps at most
    /// `maxCachedTokens` (0: no limit).
    WaitingPrompt(std::shared_ptr<PrefillBacklog> backlog, const PromptChain& chain, std::uint64_t cachedTokens,
        std::uint64_t maxCachedTokens, core::TimePoint now);
    WaitingPrompt(WaitingPrompt&& other) noexcept;
    WaitingPrompt& operator=(WaitingPrompt&& other) noexcept;
    /// \brief An attempt that ends without an event leaves nothing in the cache.
    ~WaitingPrompt();

    /// \brief Ends the wait. Returns the tokens read per millisecond; empty unless the call's own prompt alone
    /// determined its wait.
    std::optional<double> firstEvent(core::TimePoint now);
    [[nodiscard]] std::uint64_t uncached() const noexcept { return this->uncachedTokens; }

private:
    void leaveBacklog();

    std::shared_ptr<PrefillBacklog> backlog;
    std::uint64_t uncachedTokens = 0;
    /// \brief Whether other prompts of this node were waiting before this one.
    bool hadBacklog = false;
    std::vector<std::uint64_t> newKeys;
    core::TimePoint sentAt {};
};

/// \brief Learns how many prompt tokens the engines of a service read per millisecond.
class PrefillRate {
public:
    /// \brief Records the rate of one long prompt.
    void record(double tokensPerMs);
    [[nodiscard]] double tokensPerMs() const noexcept { return this->rate; }

    /// \brief Bounds of the learned rate; site data sheets state 30 to 76.
    static constexpr double minTokensPerMs = 20;
    static constexpr double maxTokensPerMs = 100;

    /// \brief The lowest rate of the data sheets, until calls show another one.
    static constexpr double initialTokensPerMs = 30.6;

private:
    double rate = initialTokensPerMs;
};

/// \brief Limits the messages about long prompts that a node sends, whatever the share of long prompts is.
class NoticeAllowance {
public:
    /// \brief Number of messages that may be sent now, at most `wanted`; they count as sent.
    [[nodiscard]] std::size_t take(std::size_t wanted, core::TimePoint now);

    /// \brief About 100 us of processor time for each message sent and received: below 1% of a core.
    static constexpr double perSecond = 40;
    /// \brief One prompt in a zone of the target size (docs/CAPACITY.md: 156 nodes).
    static constexpr double burst = 160;

private:
    double left = burst;
    core::TimePoint updatedAt {};
};

} // namespace lagoontiller::gateway
