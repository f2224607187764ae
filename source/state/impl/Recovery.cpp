#include "state/impl/Recovery.h"

#include "state/StoreKeys.h"

#include <algorithm>

namespace lagoontiller::state::impl {

namespace {

// Concurrent jobs. Each has at most one read in flight.
constexpr std::size_t maxJobs = 4;
// Capacity of the token bucket, as a fraction of the reads per second.
constexpr double burstRatio = 0.1;

} // namespace

Recovery::Recovery(std::uint32_t maxReadsPerSecond, std::uint32_t pageRows)
    : maxReadsPerSecond(maxReadsPerSecond)
    , pageRows(pageRows)
{
}

void Recovery::start(core::PartitionId partition, const records::OwnerRow& row)
{
    this->cancel(partition);
    auto& work = this->partitions[partition];
    work.row = row;
    work.snapshotRead = row.snapshot_object().empty();
    work.snapshotAssigned = work.snapshotRead;
    for (int range = 0; range < row.earlier_size(); ++range) {
        work.unfinishedRanges.insert(static_cast<std::size_t>(range));
    }
    work.unassignedRanges = work.unfinishedRanges;
    this->queue.push_back(partition);
}

void Recovery::cancel(core::PartitionId partition)
{
    this->partitions.erase(partition);
    std::erase(this->queue, partition);
    for (auto& job : this->jobs) {
        std::erase_if(job.rangeIndexes, [partition](const auto& member) { return member.first.first == partition; });
    }
    std::erase_if(this->jobs, [](const ReadJob& job) { return job.rangeIndexes.empty(); });
}

void Recovery::prioritise(core::PartitionId partition)
{
    if (std::erase(this->queue, partition) > 0) {
        this->queue.push_front(partition);
    }
}

RecoveryEffects Recovery::tick(core::TimePoint now, Generator& generator, OperationId& lastOperation)
{
    RecoveryEffects effects;
    this->finishJobs();
    this->takeFinished(effects);
    this->assignJobs();
    std::uniform_int_distribution<std::size_t> firstJob(0, maxJobs - 1);
    const auto offset = this->jobs.size() > 1 ? firstJob(generator) : 0;
    for (std::size_t index = 0; index < this->jobs.size(); ++index) {
        auto& job = this->jobs[(index + offset) % this->jobs.size()];
        if (job.operation == 0 && now >= job.resumeAt && this->consumeReadToken(now)) {
            this->startRead(job, lastOperation, effects);
        }
    }
    return effects;
}

void Recovery::assignJobs()
{
    for (const auto partition : this->queue) {
        auto& work = this->partitions.at(partition);
        while (this->jobs.size() < maxJobs && this->assignNextJob(partition, work)) { }
    }
}

bool Recovery::assignNextJob(core::PartitionId partition, PartitionWork& work)
{
    if (!work.snapshotAssigned) {
        work.snapshotAssigned = true;
        ReadJob job;
        job.snapshotKey = work.row.snapshot_object();
        job.rangeIndexes[{ partition, work.row.epoch() }] = 0;
        this->jobs.push_back(std::move(job));
        return true;
    }
    if (work.unassignedRanges.empty()) {
        return false;
    }
    this->assignStreamJob(work.row.earlier(static_cast<int>(*work.unassignedRanges.begin())).stream());
    return true;
}

void Recovery::assignStreamJob(const std::string& stream)
{
    ReadJob job;
    job.stream = stream;
    std::uint64_t firstSequence = 0;
    for (auto& [partition, work] : this->partitions) {
        std::set<std::size_t> remaining;
        for (const auto index : work.unassignedRanges) {
            const auto& range = work.row.earlier(static_cast<int>(index));
            if (range.stream() != stream) {
                remaining.insert(index);
                continue;
            }
            firstSequence
                = job.rangeIndexes.empty() ? range.first_sequence() : std::min(firstSequence, range.first_sequence());
            job.lastSequence = std::max(job.lastSequence, range.last_sequence());
            job.rangeIndexes[{ partition, range.epoch() }] = index;
        }
        work.unassignedRanges = std::move(remaining);
    }
    job.after = firstSequence == 0 ? logPrefix(stream) : logKey(stream, firstSequence - 1);
    this->jobs.push_back(std::move(job));
}

bool Recovery::consumeReadToken(core::TimePoint now)
{
    const auto maxTokens = std::max(1.0, this->maxReadsPerSecond * burstRatio);
    if (this->lastRefill) {
        const std::chrono::duration<double> elapsed = now - *this->lastRefill;
        this->readTokens = std::min(maxTokens, this->readTokens + elapsed.count() * this->maxReadsPerSecond);
    } else {
        this->readTokens = maxTokens;
    }
    this->lastRefill = now;
    if (this->readTokens < 1) {
        return false;
    }
    this->readTokens -= 1;
    this->readCount += 1;
    return true;
}

void Recovery::startRead(ReadJob& job, OperationId& lastOperation, RecoveryEffects& effects)
{
    lastOperation += 1;
    job.operation = lastOperation;
    if (!job.snapshotKey.empty()) {
        effects.emplace_back(ReadObject { job.operation, job.snapshotKey });
    } else if (!job.pendingObjects.empty()) {
        effects.emplace_back(ReadObject { job.operation, job.pendingObjects.front().second });
    } else {
        effects.emplace_back(ScanRows { job.operation, logPrefix(job.stream), job.after, this->pageRows });
    }
}

bool Recovery::awaits(OperationId operation) const
{
    return operation != 0
        && std::ranges::any_of(this->jobs, [operation](const ReadJob& job) { return job.operation == operation; });
}

Recovery::ReadJob* Recovery::findJob(OperationId operation)
{
    const auto found
        = std::ranges::find_if(this->jobs, [operation](const ReadJob& job) { return job.operation == operation; });
    return operation == 0 || found == this->jobs.end() ? nullptr : &*found;
}

void Recovery::onRows(OperationId operation, const RowsResult& result, core::TimePoint now, Generator& generator)
{
    auto* job = this->findJob(operation);
    if (job == nullptr) {
        return;
    }
    job->operation = 0;
    if (result && this->addPage(*job, *result)) {
        job->backoff.reset();
    } else {
        job->resumeAt = now + job->backoff.nextDelay(generator);
    }
}

void Recovery::onObject(OperationId operation, const ObjectResult& result, core::TimePoint now, Generator& generator)
{
    auto* job = this->findJob(operation);
    if (job == nullptr) {
        return;
    }
    job->operation = 0;
    // A missing or malformed object is read again, because serving the partition without it would lose history.
    bool read = result && result->has_value();
    if (read && !job->snapshotKey.empty()) {
        read = this->addSnapshot(*job, **result);
        job->atEnd = read;
    } else if (read) {
        read = this->addBatch(*job, job->pendingObjects.front().first, **result);
        if (read) {
            job->pendingObjects.pop_front();
        }
    }
    if (read) {
        job->backoff.reset();
    } else {
        job->resumeAt = now + job->backoff.nextDelay(generator);
    }
}

bool Recovery::addPage(ReadJob& job, const std::vector<tables::Row>& rows)
{
    for (const auto& row : rows) {
        const auto sequence = sequenceOfLogKey(row.key);
        const auto decoded = decodeLogRow(row.value);
        if (!sequence || !decoded) {
            return false;
        }
        if (*sequence > job.lastSequence) {
            job.atEnd = true;
            break;
        }
        this->readLogKeys[job.stream].insert(row.key);
        if (!decoded->object.empty()) {
            job.pendingObjects.emplace_back(*sequence, decoded->object);
        } else if (!this->addBatch(job, *sequence, decoded->batch)) {
            return false;
        }
        job.after = row.key;
    }
    // The takeover was committed before the first page was read, so the pages hold every batch of the earlier epochs,
    // and a short page is the last one.
    job.atEnd = job.atEnd || rows.size() < this->pageRows;
    return true;
}

bool Recovery::addBatch(const ReadJob& job, std::uint64_t sequence, const std::string& bytes)
{
    records::Batch batch;
    if (!batch.ParseFromString(bytes)) {
        return false;
    }
    std::map<std::pair<core::PartitionId, std::size_t>, std::vector<records::Entry>> entriesByRange;
    for (const auto& entry : batch.entries()) {
        const auto member = job.rangeIndexes.find({ entry.partition(), entry.epoch() });
        if (member != job.rangeIndexes.end()) {
            entriesByRange[{ entry.partition(), member->second }].push_back(entry);
        }
    }
    for (auto& [location, entries] : entriesByRange) {
        auto& work = this->partitions.at(location.first);
        const auto& range = work.row.earlier(static_cast<int>(location.second));
        if (sequence >= range.first_sequence() && sequence <= range.last_sequence()) {
            work.logEntries[{ location.second, sequence }] = std::move(entries);
        }
    }
    return true;
}

bool Recovery::addSnapshot(const ReadJob& job, const std::string& bytes)
{
    records::Snapshot snapshot;
    const auto partition = job.rangeIndexes.begin()->first.first;
    if (!snapshot.ParseFromString(bytes) || snapshot.partition() != partition) {
        return false;
    }
    auto& work = this->partitions.at(partition);
    work.snapshotEntries.assign(snapshot.entries().begin(), snapshot.entries().end());
    return true;
}

bool Recovery::isDone(const ReadJob& job)
{
    return job.atEnd && job.pendingObjects.empty();
}

void Recovery::finishJobs()
{
    for (const auto& job : this->jobs) {
        if (!isDone(job)) {
            continue;
        }
        for (const auto& [member, range] : job.rangeIndexes) {
            auto& work = this->partitions.at(member.first);
            if (job.snapshotKey.empty()) {
                work.unfinishedRanges.erase(range);
            } else {
                work.snapshotRead = true;
            }
        }
    }
    std::erase_if(this->jobs, isDone);
}

void Recovery::takeFinished(RecoveryEffects& effects)
{
    std::vector<core::PartitionId> finished;
    for (const auto& [partition, work] : this->partitions) {
        if (work.snapshotRead && work.unfinishedRanges.empty()) {
            finished.push_back(partition);
        }
    }
    for (const auto partition : finished) {
        const auto& work = this->partitions.at(partition);
        RecoveredPartition recovered { partition, {} };
        for (const auto& entry : work.snapshotEntries) {
            recovered.store.apply(entry);
        }
        for (const auto& [position, entries] : work.logEntries) {
            for (const auto& entry : entries) {
                recovered.store.apply(entry);
            }
        }
        effects.emplace_back(std::move(recovered));
        this->cancel(partition);
    }
}

std::map<std::string, std::set<std::string>> Recovery::takeReadLogKeys()
{
    return std::exchange(this->readLogKeys, {});
}

} // namespace lagoontiller::state::impl
