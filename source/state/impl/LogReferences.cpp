#include "state/impl/LogReferences.h"

#include "state/StoreKeys.h"

#include <algorithm>

namespace lagoontiller::state::impl {

namespace {

void moveAll(std::map<std::string, std::set<std::string>>& from, std::map<std::string, std::set<std::string>>& to)
{
    for (auto& [stream, keys] : from) {
        to[stream].merge(keys);
    }
    from.clear();
}

} // namespace

void LogReferences::onScanStarted()
{
    moveAll(this->readSinceScanStart, this->readBeforeScan);
}

void LogReferences::onScanCompleted()
{
    moveAll(this->readBeforeScan, this->confirmedByScan);
}

void LogReferences::addReadKeys(const std::map<std::string, std::set<std::string>>& keys)
{
    for (const auto& [stream, names] : keys) {
        this->readSinceScanStart[stream].insert(names.begin(), names.end());
    }
}

void LogReferences::setRow(core::PartitionId partition, const records::OwnerRow& row)
{
    auto& streams = this->references[partition];
    streams.clear();
    const auto addReference = [&streams](const std::string& stream, std::uint64_t sequence) {
        const auto [position, added] = streams.try_emplace(stream, sequence);
        position->second = std::min(position->second, sequence);
    };
    addReference(row.stream(), row.first_sequence());
    for (const auto& range : row.earlier()) {
        addReference(range.stream(), range.first_sequence());
    }
}

std::uint64_t LogReferences::lowestSequence(const std::string& stream) const
{
    auto lowest = noReference;
    for (const auto& [partition, streams] : this->references) {
        const auto found = streams.find(stream);
        if (found != streams.end()) {
            lowest = std::min(lowest, found->second);
        }
    }
    return lowest;
}

std::vector<std::string> LogReferences::deletableKeys(std::size_t limit) const
{
    std::vector<std::string> result;
    for (const auto& [stream, keys] : this->confirmedByScan) {
        const auto bound = this->lowestSequence(stream);
        for (const auto& key : keys) {
            const auto sequence = sequenceOfLogKey(key);
            if (result.size() >= limit || !sequence || *sequence >= bound) {
                break;
            }
            result.push_back(key);
        }
    }
    return result;
}

void LogReferences::onDeleted(const std::vector<std::string>& keys)
{
    for (auto& [stream, names] : this->confirmedByScan) {
        for (const auto& key : keys) {
            names.erase(key);
        }
    }
    std::erase_if(this->confirmedByScan, [](const auto& item) { return item.second.empty(); });
}

} // namespace lagoontiller::state::impl
