#pragma once

#include "core/Time.h"
#include "policy/LoadEstimate.h"
#include "policy/PrefixDirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoontiller::bench {

struct EngineDoubleSettings {
    /// \brief Maximum number of requests decoded concurrently.
    std::size_t slots = 8;
    /// \brief Memory for cached prefixes and running requests, in tokens.
    std::uint64_t kvCapacity = 100'000;
    double prefillTokensPerMs = 8;
    /// \brief Time between two tokens of a request that runs alone.
    double decodeMs = 36;
    /// \brief Fraction of `decodeMs` that each other running request adds.
    double batchSlowdown = 0.05;
    /// \brief Drops every n-th cache event; 0 drops none.
    std::uint64_t eventGapEvery = 20;
};

struct EngineJob {
    std::uint64_t id = 0;
    std::uint64_t program = 0;
    int priority = 0;
    std::uint32_t prompt = 0;
    std::uint32_t completion = 0;
    /// \brief The request crashes the engine process after prefill.
    bool poison = false;
    std::uint32_t cached = 0;
};

struct EngineOutput {
    enum class Kind : int { Started, FirstToken, Finished, Crashed };
    Kind kind = Kind::Started;
    EngineJob job;
};

/// \brief Inference engine in virtual time that models token counts only.
///
/// Batching is continuous, prefill is serial, and the prefix cache evicts whole programs in LRU order. Between two
/// changes of the batch, decoding advances for all requests in one step.
class EngineDouble {
public:
    explicit EngineDouble(EngineDoubleSettings settings)
        : settings(settings)
    {
    }

    void submit(const EngineJob& job);
    bool cancel(std::uint64_t id);
    void release(std::uint64_t program);
    /// \brief Caches an imported prefix if there is room for it.
    void import(std::uint64_t program, std::uint32_t tokens, core::TimePoint now);
    /// \brief Runs the engine up to `now` and returns the events.
    [[nodiscard]] std::vector<EngineOutput> advance(core::TimePoint now);
    [[nodiscard]] std::optional<core::TimePoint> nextEvent() const;
    /// \brief Discards all requests and caches; returns the ids of the requests.
    std::vector<std::uint64_t> crash();

    [[nodiscard]] policy::LoadReport load(core::TimePoint now) const;
    [[nodiscard]] std::vector<policy::CacheEvent> takeEvents();
    [[nodiscard]] std::uint32_t cached(std::uint64_t program) const;
    [[nodiscard]] std::uint64_t used() const noexcept { return this->cachedTokens + this->reservedTokens; }

private:
    struct Running {
        EngineJob job;
        core::TimePoint prefillEnd {};
        bool decoding = false;
        double remaining = 0;
    };
    struct Cached {
        std::uint32_t tokens = 0;
        core::TimePoint usedAt {};
        int pins = 0;
    };

    [[nodiscard]] double tokenMs() const;
    void start(core::TimePoint now, std::vector<EngineOutput>& outputs);
    bool makeRoom(std::uint64_t needed, std::uint64_t forProgram);
    void store(std::uint64_t program, std::uint32_t tokens, core::TimePoint now);
    void drop(std::uint64_t program);
    void end(const Running& running);
    void event(bool stored, std::uint64_t program, std::uint32_t tokens, core::TimePoint at);

    EngineDoubleSettings settings;
    std::vector<EngineJob> waiting;
    std::map<std::uint64_t, Running> running;
    std::map<std::uint64_t, Cached> cache;
    std::vector<policy::CacheEvent> events;
    std::uint64_t sequence = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t reservedTokens = 0;
    core::TimePoint prefillFree {};
    core::TimePoint updated {};
};

} // namespace lagoontiller::bench
