#include "bench/fakes/EngineModel.h"

#include "bench/fakes/EngineText.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::fakes {

namespace {

using core::ResultCode;

} // namespace

EngineModel::EngineModel(EngineSettings settings)
    : values(std::move(settings))
{
}

core::Expected<void> EngineModel::submit(const EngineRequest& request, core::TimePoint now)
{
    const auto sameId = [&request](const Job& job) { return job.request.requestId == request.requestId; };
    if (this->running.contains(request.requestId) || std::any_of(this->waiting.begin(), this->waiting.end(), sameId))
        return core::failure(ResultCode::EndpointRefused, "request_id is in use");
    if (!this->values.models.empty() && !this->values.models.contains(request.model))
        return core::failure(ResultCode::UnknownModel, "model is not loaded");
    Job job;
    job.request = request;
    job.arrival = this->arrivals++;
    job.tokens = answerTokens(request.prompt, request.maxTokens);
    job.truncated = job.tokens.size() < answerTokens(request.prompt, 0).size();
    if (!removeTextPrefix(job.tokens, request.resumeText))
        return core::failure(ResultCode::InvalidField, "resume_text is no beginning of the answer");
    // The resume text is prefilled as part of the prompt, as the start of the assistant message.
    auto serialised = request.prompt;
    if (!request.resumeText.empty())
        serialised += "assistant\x1f" + request.resumeText;
    job.prefix = hashPrefix(serialised);
    job.usage.promptTokens = countTokens(serialised);
    if (job.usage.promptTokens + job.tokens.size() > this->values.kvCapacity)
        return core::failure(ResultCode::EndpointRefused, "prompt is larger than the memory");
    ++this->counts.requests;
    this->waiting.push_back(std::move(job));
    this->startWaiting(now);
    this->recordLoad(now);
    return {};
}

std::vector<EngineEvent> EngineModel::advance(core::TimePoint now)
{
    while (const auto due = this->nextEventTime()) {
        if (*due > now)
            break;
        const auto next = std::min_element(this->running.begin(), this->running.end(),
            [](const auto& left, const auto& right) { return left.second.nextToken < right.second.nextToken; });
        this->emitToken(std::string(next->first), *due);
    }
    for (auto model = this->loadingModels.begin(); model != this->loadingModels.end();) {
        if (model->second > now) {
            ++model;
            continue;
        }
        this->values.models.insert(model->first);
        model = this->loadingModels.erase(model);
    }
    return std::exchange(this->produced, {});
}

std::optional<core::TimePoint> EngineModel::nextEventTime() const
{
    std::optional<core::TimePoint> earliest;
    for (const auto& [id, job] : this->running) {
        if (!earliest || job.nextToken < *earliest)
            earliest = job.nextToken;
    }
    return earliest;
}

bool EngineModel::cancel(const std::string& requestId, core::TimePoint now)
{
    const auto active = this->running.find(requestId);
    if (active != this->running.end()) {
        auto job = std::move(active->second);
        this->running.erase(active);
        this->endRequest(job, EngineEvent::Kind::Cancelled, now);
        this->startWaiting(now);
        this->recordLoad(now);
        return true;
    }
    const auto queued = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&requestId](const Job& job) { return job.request.requestId == requestId; });
    if (queued == this->waiting.end())
        return false;
    ++this->counts.cancelled;
    this->produced.push_back({ EngineEvent::Kind::Cancelled, requestId, "", queued->usage, false });
    this->waiting.erase(queued);
    this->recordLoad(now);
    return true;
}

void EngineModel::release(const std::string& program, core::TimePoint now)
{
    const auto ofProgram = [&program](const auto& entry) { return entry.second.request.program == program; };
    if (std::any_of(this->running.begin(), this->running.end(), ofProgram)) {
        this->deferredReleases.insert(program);
        return;
    }
    std::vector<CacheChange> changes;
    if (this->prefixes.drop(program, changes))
        ++this->counts.released;
    this->publishCacheChanges(changes, now);
    this->startWaiting(now);
    this->recordLoad(now);
}

LoadSample EngineModel::load(core::TimePoint now) const
{
    auto result = this->loadHistory.at(now, this->values.loadLag);
    result.kvCapacity = this->values.kvCapacity;
    return result;
}

CacheEventPage EngineModel::events(std::uint64_t after, core::TimePoint now) const
{
    return this->eventLog.after(after, now);
}

std::optional<CachedPrefix> EngineModel::exportPrefix(const std::string& program) const
{
    return this->prefixes.find(program);
}

bool EngineModel::importPrefix(const std::string& program, const CachedPrefix& prefix, core::TimePoint now)
{
    std::vector<CacheChange> changes;
    const auto needed = prefix.tokens() + this->reservedTokens;
    const bool room
        = needed <= this->values.kvCapacity && this->prefixes.shrink(this->values.kvCapacity - needed, changes);
    if (room)
        this->prefixes.store(program, prefix, now, changes);
    this->publishCacheChanges(changes, now);
    this->recordLoad(now);
    return room;
}

core::Expected<void> EngineModel::order(const EngineOrder& order, core::TimePoint now)
{
    auto& highest = this->highestFences[order.kind];
    if (this->values.checksFence && order.fence < highest)
        return core::failure(ResultCode::StaleFence,
            "fence " + std::to_string(order.fence) + " is older than " + std::to_string(highest));
    highest = std::max(highest, order.fence);
    this->acceptedOrders.push_back(order);
    if (order.kind == "load_model" && !this->values.models.empty() && !this->values.models.contains(order.name))
        this->loadingModels.emplace(order.name, now + this->values.modelLoadTime);
    return {};
}

void EngineModel::startWaiting(core::TimePoint now)
{
    while (this->running.size() < this->values.slots && !this->waiting.empty()) {
        const auto next = std::min_element(this->waiting.begin(), this->waiting.end(), [](const Job& a, const Job& b) {
            return a.request.priority != b.request.priority ? a.request.priority > b.request.priority
                                                            : a.arrival < b.arrival;
        });
        // The first request blocks the others until it has memory; otherwise large prompts would starve.
        if (!this->makeRoom(*next, now))
            return;
        auto job = std::move(*next);
        this->waiting.erase(next);
        this->startRequest(std::move(job), now);
    }
}

bool EngineModel::makeRoom(const Job& job, core::TimePoint now)
{
    const auto needed = job.usage.promptTokens + job.tokens.size();
    std::vector<CacheChange> changes;
    const auto taken = needed + this->reservedTokens;
    if (taken > this->values.kvCapacity)
        return false;
    this->prefixes.pin(job.request.program);
    const auto own = this->prefixes.find(job.request.program);
    const auto shared = own ? own->tokens() : 0;
    auto room = this->prefixes.shrink(this->values.kvCapacity - taken + std::min(shared, needed), changes);
    this->prefixes.unpin(job.request.program);
    // The program's own prefix is evicted only if evicting all others does not free enough memory.
    if (!room)
        room = this->prefixes.shrink(this->values.kvCapacity - taken, changes);
    this->publishCacheChanges(changes, now);
    return room;
}

void EngineModel::startRequest(Job job, core::TimePoint now)
{
    const auto& program = job.request.program;
    job.usage.cachedTokens = program.empty() ? 0 : this->prefixes.match(program, job.prefix, now);
    job.reserved = job.usage.promptTokens + job.tokens.size() - job.usage.cachedTokens;
    this->reservedTokens += job.reserved;
    this->prefixes.pin(program);
    const auto uncached = job.usage.promptTokens - job.usage.cachedTokens;
    this->counts.tokensPrefilled += uncached;
    this->counts.tokensCached += job.usage.cachedTokens;
    const auto prefill = std::llround(this->values.prefillPerToken.count() * uncached * this->slowness);
    const auto id = job.request.requestId;
    const auto inserted = this->running.emplace(id, std::move(job)).first;
    inserted->second.nextToken = now + core::Duration(prefill) + this->decodeTime();
}

void EngineModel::emitToken(const std::string& requestId, core::TimePoint now)
{
    auto& job = this->running.at(requestId);
    if (job.sent < job.tokens.size()) {
        this->produced.push_back({ EngineEvent::Kind::Token, requestId, job.tokens[job.sent], {}, false });
        ++job.sent;
        ++job.usage.completionTokens;
        ++this->counts.tokensGenerated;
        job.nextToken = now + this->decodeTime();
    }
    if (job.sent < job.tokens.size())
        return;
    auto done = std::move(job);
    this->running.erase(requestId);
    this->endRequest(done, EngineEvent::Kind::Finished, now);
    this->startWaiting(now);
    this->recordLoad(now);
}

void EngineModel::endRequest(Job& job, EngineEvent::Kind kind, core::TimePoint now)
{
    const auto& program = job.request.program;
    this->reservedTokens -= job.reserved;
    this->prefixes.unpin(program);
    std::vector<CacheChange> changes;
    const auto ofProgram = [&program](const auto& entry) { return entry.second.request.program == program; };
    const bool last = std::none_of(this->running.begin(), this->running.end(), ofProgram);
    if (last && this->deferredReleases.erase(program) > 0) {
        if (this->prefixes.drop(program, changes))
            ++this->counts.released;
    } else if (!program.empty()) {
        auto answer = job.request.resumeText;
        for (std::size_t index = 0; index < job.sent; ++index)
            answer += job.tokens[index];
        auto serialised = job.request.prompt + serialiseMessage("assistant", answer);
        if (kind != EngineEvent::Kind::Finished)
            serialised.pop_back();
        this->prefixes.store(program, hashPrefix(serialised), now, changes);
        (void)this->prefixes.shrink(this->values.kvCapacity - this->reservedTokens, changes);
    }
    this->publishCacheChanges(changes, now);
    if (kind == EngineEvent::Kind::Cancelled)
        ++this->counts.cancelled;
    this->produced.push_back({ kind, job.request.requestId, "", job.usage, job.truncated });
}

void EngineModel::publishCacheChanges(const std::vector<CacheChange>& changes, core::TimePoint now)
{
    for (const auto& change : changes)
        this->eventLog.add(change, now + this->values.eventLag, this->values.eventGapEvery);
}

void EngineModel::recordLoad(core::TimePoint now)
{
    this->loadHistory.add({ now, this->running.size(), this->waiting.size(), this->used(), this->values.kvCapacity },
        this->values.loadLag);
}

core::Duration EngineModel::decodeTime() const
{
    const auto others = static_cast<double>(std::max<std::size_t>(this->running.size(), 1) - 1);
    const auto time = this->values.decodePerToken.count() * (1 + this->values.batchSlowdown * others) * this->slowness;
    return core::Duration(std::llround(time));
}

} // namespace lagoontiller::fakes
