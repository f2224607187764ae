#include "state/impl/Recovery.h"

#include "state/StoreKeys.h"

#include <algorithm>

namespace lagoontiller::state::impl {

namespace {

// Concurrent passes; each has one read in flight.
constexpr std::size_t mostJobs = 4;
// Largest burst of reads as a share of one second's budget.
constexpr double burstShare = 0.1;

} // namespace

Recovery::Recovery(std::uint32_t readsPerSecond, std::uint32_t pageRows)
    : readsPerSecond(readsPerSecond)
    , pageRows(pageRows)
{
}

void Recovery::begin(core::PartitionId partition, const records::OwnerRow& row)
{
    this->cancel(partition);
    auto& work = this->works[partition];
    work.row = row;
    work.snapshotRead = row.snapshot_object().empty();
    work.snapshotAssigned = work.snapshotRead;
    for (int range = 0; range < row.earlier_size(); ++range) {
        work.rangesOpen.insert(static_cast<std::size_t>(range));
    }
    work.rangesUnassigned = work.rangesOpen;
    this->order.push_back(partition);
}

void Recovery::cancel(core::PartitionId partition)
{
    this->works.erase(partition);
    std::erase(this->order, partition);
    for (auto& job : this->jobs) {
        std::erase_if(job.members, [partition](const auto& member) { return member.first.first == partition; });
    }
    std::erase_if(this->jobs, [](const Job& job) { return job.members.empty(); });
}

void Recovery::prioritise(core::PartitionId partition)
{
    if (std::erase(this->order, partition) > 0) {
        this->order.push_front(partition);
    }
}

RecoveryEffects Recovery::tick(core::TimePoint now, Generator& generator, OperationId& lastOperation)
{
    RecoveryEffects effects;
    this->finishJobs();
    this->takeFinished(effects);
    this->assign();
    std::uniform_int_distribution<std::size_t> start(0, mostJobs - 1);
    const auto offset = this->jobs.size() > 1 ? start(generator) : 0;
    for (std::size_t index = 0; index < this->jobs.size(); ++index) {
        auto& job = this->jobs[(index + offset) % this->jobs.size()];
        if (job.operation == 0 && now >= job.resumeAt && this->takeRead(now)) {
            this->issue(job, lastOperation, effects);
        }
    }
    return effects;
}

void Recovery::assign()
{
    for (const auto partition : this->order) {
        auto& work = this->works.at(partition);
        while (this->jobs.size() < mostJobs && this->assignNext(partition, work)) { }
    }
}

bool Recovery::assignNext(core::PartitionId partition, Work& work)
{
    if (!work.snapshotAssigned) {
        work.snapshotAssigned = true;
        Job job;
        job.snapshot = work.row.snapshot_object();
        job.members[{ partition, work.row.epoch() }] = 0;
        this->jobs.push_back(std::move(job));
        return true;
    }
    if (work.rangesUnassigned.empty()) {
        return false;
    }
    this->assignStream(work.row.earlier(static_cast<int>(*work.rangesUnassigned.begin())).stream());
    return true;
}

void Recovery::assignStream(const std::string& stream)
{
    Job job;
    job.stream = stream;
    std::uint64_t first = 0;
    for (auto& [partition, work] : this->works) {
        std::set<std::size_t> left;
        for (const auto index : work.rangesUnassigned) {
            const auto& range = work.row.earlier(static_cast<int>(index));
            if (range.stream() != stream) {
                left.insert(index);
                continue;
            }
            first = job.members.empty() ? range.first_sequence() : std::min(first, range.first_sequence());
            job.last = std::max(job.last, range.last_sequence());
            job.members[{ partition, range.epoch() }] = index;
        }
        work.rangesUnassigned = std::move(left);
    }
    job.after = first == 0 ? logPrefix(stream) : logKey(stream, first - 1);
    this->jobs.push_back(std::move(job));
}

bool Recovery::takeRead(core::TimePoint now)
{
    const auto most = std::max(1.0, this->readsPerSecond * burstShare);
    if (this->lastRefill) {
        const std::chrono::duration<double> elapsed = now - *this->lastRefill;
        this->allowance = std::min(most, this->allowance + elapsed.count() * this->readsPerSecond);
    } else {
        this->allowance = most;
    }
    this->lastRefill = now;
    if (this->allowance < 1) {
        return false;
    }
    this->allowance -= 1;
    this->readCount += 1;
    return true;
}

void Recovery::issue(Job& job, OperationId& lastOperation, RecoveryEffects& effects)
{
    lastOperation += 1;
    job.operation = lastOperation;
    if (!job.snapshot.empty()) {
        effects.emplace_back(ReadObject { job.operation, job.snapshot });
    } else if (!job.objects.empty()) {
        effects.emplace_back(ReadObject { job.operation, job.objects.front().second });
    } else {
        effects.emplace_back(ScanRows { job.operation, logPrefix(job.stream), job.after, this->pageRows });
    }
}

bool Recovery::awaits(OperationId operation) const
{
    return operation != 0
        && std::ranges::any_of(this->jobs, [operation](const Job& job) { return job.operation == operation; });
}

Recovery::Job* Recovery::findJob(OperationId operation)
{
    const auto found
        = std::ranges::find_if(this->jobs, [operation](const Job& job) { return job.operation == operation; });
    return operation == 0 || found == this->jobs.end() ? nullptr : &*found;
}

void Recovery::onRows(OperationId operation, const RowsResult& result, core::TimePoint now, Generator& generator)
{
    auto* job = this->findJob(operation);
    if (job == nullptr) {
        return;
    }
    job->operation = 0;
    if (result && this->readPage(*job, *result)) {
        job->backoff.reset();
    } else {
        job->resumeAt = now + job->backoff.next(generator);
    }
}

void Recovery::onObject(OperationId operation, const ObjectResult& result, core::TimePoint now, Generator& generator)
{
    auto* job = this->findJob(operation);
    if (job == nullptr) {
        return;
    }
    job->operation = 0;
    // A missing or malformed object is read again: serving the partition without it would lose history.
    bool read = result && result->has_value();
    if (read && !job->snapshot.empty()) {
        read = this->addSnapshot(*job, **result);
        job->atEnd = read;
    } else if (read) {
        read = this->addBatch(*job, job->objects.front().first, **result);
        if (read) {
            job->objects.pop_front();
        }
    }
    if (read) {
        job->backoff.reset();
    } else {
        job->resumeAt = now + job->backoff.next(generator);
    }
}

bool Recovery::readPage(Job& job, const std::vector<tables::Row>& rows)
{
    for (const auto& row : rows) {
        const auto sequence = sequenceOfLogKey(row.key);
        const auto decoded = decodeLogRow(row.value);
        if (!sequence || !decoded) {
            return false;
        }
        if (*sequence > job.last) {
            job.atEnd = true;
            break;
        }
        this->seen[job.stream].insert(row.key);
        if (!decoded->object.empty()) {
            job.objects.emplace_back(*sequence, decoded->object);
        } else if (!this->addBatch(job, *sequence, decoded->batch)) {
            return false;
        }
        job.after = row.key;
    }
    // The takeover was committed before the first page was read, so every batch of the older epochs is visible.
    job.atEnd = job.atEnd || rows.size() < this->pageRows;
    return true;
}

bool Recovery::addBatch(const Job& job, std::uint64_t sequence, const std::string& bytes)
{
    records::Batch batch;
    if (!batch.ParseFromString(bytes)) {
        return false;
    }
    std::map<std::pair<core::PartitionId, std::size_t>, std::vector<records::Entry>> found;
    for (const auto& entry : batch.entries()) {
        const auto member = job.members.find({ entry.partition(), entry.epoch() });
        if (member != job.members.end()) {
            found[{ entry.partition(), member->second }].push_back(entry);
        }
    }
    for (auto& [place, entries] : found) {
        auto& work = this->works.at(place.first);
        const auto& range = work.row.earlier(static_cast<int>(place.second));
        if (sequence >= range.first_sequence() && sequence <= range.last_sequence()) {
            work.log[{ place.second, sequence }] = std::move(entries);
        }
    }
    return true;
}

bool Recovery::addSnapshot(const Job& job, const std::string& bytes)
{
    records::Snapshot snapshot;
    const auto partition = job.members.begin()->first.first;
    if (!snapshot.ParseFromString(bytes) || snapshot.partition() != partition) {
        return false;
    }
    auto& work = this->works.at(partition);
    work.image.assign(snapshot.entries().begin(), snapshot.entries().end());
    return true;
}

bool Recovery::isDone(const Job& job)
{
    return job.atEnd && job.objects.empty();
}

void Recovery::finishJobs()
{
    for (const auto& job : this->jobs) {
        if (!isDone(job)) {
            continue;
        }
        for (const auto& [member, range] : job.members) {
            auto& work = this->works.at(member.first);
            if (job.snapshot.empty()) {
                work.rangesOpen.erase(range);
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
    for (const auto& [partition, work] : this->works) {
        if (work.snapshotRead && work.rangesOpen.empty()) {
            finished.push_back(partition);
        }
    }
    for (const auto partition : finished) {
        const auto& work = this->works.at(partition);
        RecoveredPartition recovered { partition, {} };
        for (const auto& entry : work.image) {
            recovered.store.apply(entry);
        }
        for (const auto& [position, entries] : work.log) {
            for (const auto& entry : entries) {
                recovered.store.apply(entry);
            }
        }
        effects.emplace_back(std::move(recovered));
        this->cancel(partition);
    }
}

std::map<std::string, std::set<std::string>> Recovery::takeSeenLogKeys()
{
    return std::exchange(this->seen, {});
}

} // namespace lagoontiller::state::impl
