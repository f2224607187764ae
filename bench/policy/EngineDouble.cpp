#include "bench/policy/EngineDouble.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoontiller::bench {

namespace {

core::Duration milliseconds(double ms)
{
    return core::Duration(static_cast<std::int64_t>(std::ceil(ms * 1'000)));
}

constexpr double lastPart = 1e-6;

} // namespace

void EngineDouble::submit(const EngineJob& job)
{
    const auto behind = [&job](const EngineJob& each) { return each.priority < job.priority; };
    this->waiting.insert(std::find_if(this->waiting.begin(), this->waiting.end(), behind), job);
}

bool EngineDouble::cancel(std::uint64_t id)
{
    const auto entry = this->running.find(id);
    if (entry != this->running.end()) {
        this->end(entry->second);
        this->running.erase(entry);
        return true;
    }
    return std::erase_if(this->waiting, [id](const EngineJob& each) { return each.id == id; }) > 0;
}

void EngineDouble::release(std::uint64_t program)
{
    const auto entry = this->cache.find(program);
    if (entry != this->cache.end() && entry->second.pins == 0) {
        this->drop(program);
    }
}

void EngineDouble::import(std::uint64_t program, std::uint32_t tokens, core::TimePoint now)
{
    if (this->cached(program) < tokens && this->makeRoom(tokens, program)) {
        this->store(program, tokens, now);
    }
}

std::vector<EngineOutput> EngineDouble::advance(core::TimePoint now)
{
    std::vector<EngineOutput> outputs;
    const double tokens = policy::microseconds(now - this->updated) / 1'000 / this->tokenMs();
    this->updated = now;
    std::vector<std::uint64_t> finished;
    for (auto& [id, each] : this->running) {
        if (each.decoding) {
            each.remaining -= tokens;
            if (each.remaining <= lastPart) {
                finished.push_back(id);
            }
        } else if (each.prefillEnd <= now) {
            if (each.job.poison) {
                outputs.push_back({ EngineOutput::Kind::Crashed, each.job });
                return outputs;
            }
            each.decoding = true;
            each.remaining = each.job.completion;
            outputs.push_back({ EngineOutput::Kind::FirstToken, each.job });
        }
    }
    for (const std::uint64_t id : finished) {
        const Running done = this->running.at(id);
        this->end(done);
        this->running.erase(id);
        this->store(done.job.program, done.job.prompt + done.job.completion, now);
        outputs.push_back({ EngineOutput::Kind::Finished, done.job });
    }
    this->start(now, outputs);
    return outputs;
}

std::optional<core::TimePoint> EngineDouble::nextEvent() const
{
    std::optional<core::TimePoint> next;
    for (const auto& [id, each] : this->running) {
        const auto at
            = each.decoding ? this->updated + milliseconds(each.remaining * this->tokenMs()) : each.prefillEnd;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::vector<std::uint64_t> EngineDouble::crash()
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, each] : this->running) {
        lost.push_back(id);
    }
    for (const EngineJob& job : this->waiting) {
        lost.push_back(job.id);
    }
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
    this->events.clear();
    this->cachedTokens = 0;
    this->reservedTokens = 0;
    this->prefillFree = {};
    return lost;
}

policy::LoadReport EngineDouble::load(core::TimePoint now) const
{
    return { static_cast<std::uint32_t>(this->running.size()), static_cast<std::uint32_t>(this->waiting.size()),
        this->used(), this->settings.kvCapacity, now };
}

std::vector<policy::CacheEvent> EngineDouble::takeEvents()
{
    return std::exchange(this->events, {});
}

std::uint32_t EngineDouble::cached(std::uint64_t program) const
{
    const auto entry = this->cache.find(program);
    return entry == this->cache.end() ? 0 : entry->second.tokens;
}

double EngineDouble::tokenMs() const
{
    const auto decoding = std::count_if(
        this->running.begin(), this->running.end(), [](const auto& each) { return each.second.decoding; });
    const double others = std::max<double>(0, static_cast<double>(decoding) - 1);
    return this->settings.decodeMs * (1 + this->settings.batchSlowdown * others);
}

void EngineDouble::start(core::TimePoint now, std::vector<EngineOutput>& outputs)
{
    while (!this->waiting.empty() && this->running.size() < this->settings.slots) {
        EngineJob job = this->waiting.front();
        job.cached = std::min(this->cached(job.program), job.prompt);
        if (!this->makeRoom(job.prompt - job.cached + job.completion, job.program)) {
            return;
        }
        this->waiting.erase(this->waiting.begin());
        const auto entry = this->cache.find(job.program);
        if (entry != this->cache.end()) {
            entry->second.pins += 1;
            entry->second.usedAt = now;
        }
        this->reservedTokens += job.prompt - job.cached + job.completion;
        this->prefillFree = std::max(now, this->prefillFree)
            + milliseconds((job.prompt - job.cached) / this->settings.prefillTokensPerMs);
        this->running.emplace(job.id, Running { job, this->prefillFree, false, 0 });
        outputs.push_back({ EngineOutput::Kind::Started, job });
    }
}

bool EngineDouble::makeRoom(std::uint64_t needed, std::uint64_t forProgram)
{
    while (this->used() + needed > this->settings.kvCapacity) {
        auto oldest = this->cache.end();
        for (auto each = this->cache.begin(); each != this->cache.end(); ++each) {
            if (each->second.pins == 0 && each->first != forProgram
                && (oldest == this->cache.end() || each->second.usedAt < oldest->second.usedAt)) {
                oldest = each;
            }
        }
        if (oldest == this->cache.end()) {
            // A request that runs alone always fits, because its demand includes its own cached prefix.
            return this->running.empty();
        }
        this->drop(oldest->first);
    }
    return true;
}

void EngineDouble::store(std::uint64_t program, std::uint32_t tokens, core::TimePoint now)
{
    Cached& entry = this->cache[program];
    this->cachedTokens += tokens - entry.tokens;
    entry.tokens = tokens;
    entry.usedAt = now;
    this->event(true, program, tokens, now);
}

void EngineDouble::drop(std::uint64_t program)
{
    const auto entry = this->cache.find(program);
    this->cachedTokens -= entry->second.tokens;
    this->event(false, program, entry->second.tokens, this->updated);
    this->cache.erase(entry);
}

void EngineDouble::end(const Running& running)
{
    this->reservedTokens -= running.job.prompt - running.job.cached + running.job.completion;
    const auto entry = this->cache.find(running.job.program);
    if (entry != this->cache.end() && entry->second.pins > 0) {
        entry->second.pins -= 1;
    }
}

void EngineDouble::event(bool stored, std::uint64_t program, std::uint32_t tokens, core::TimePoint at)
{
    this->sequence += 1;
    if (this->settings.eventGapEvery == 0 || this->sequence % this->settings.eventGapEvery != 0) {
        this->events.push_back({ this->sequence, stored, program, tokens, at });
    }
}

} // namespace lagoontiller::bench
