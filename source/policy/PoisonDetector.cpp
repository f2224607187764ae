#include "policy/PoisonDetector.h"

#include <algorithm>

namespace lagoontiller::policy {

namespace {

void eraseOne(std::multimap<std::string, std::string>& map, const std::string& key, const std::string& value)
{
    const auto [first, last] = map.equal_range(key);
    const auto found = std::find_if(first, last, [&value](const auto& each) { return each.second == value; });
    if (found != last) {
        map.erase(found);
    }
}

bool hasOther(const std::multimap<std::string, std::string>& map, const std::string& key, const std::string& value)
{
    const auto [first, last] = map.equal_range(key);
    return std::any_of(first, last, [&value](const auto& each) { return each.second != value; });
}

} // namespace

PoisonNotice PoisonDetector::endpointLost(
    const std::string& endpoint, std::span<const std::string> digests, core::TimePoint now)
{
    const auto reported = digests.first(std::min(digests.size(), this->options.maxDigestsPerLoss));
    this->recordLoss(endpoint, reported, now);
    return { endpoint, { reported.begin(), reported.end() }, {} };
}

void PoisonDetector::merge(const PoisonNotice& notice, core::TimePoint now)
{
    if (notice.age < this->options.isolationTime) {
        this->recordLoss(notice.endpoint, notice.digests, now - notice.age);
    }
}

void PoisonDetector::succeeded(const std::string& digest, core::TimePoint now)
{
    if (this->verdict(digest, now) == PoisonVerdict::Suspect) {
        this->dropDigest(digest);
    }
}

PoisonVerdict PoisonDetector::verdict(const std::string& digest, core::TimePoint now) const
{
    const auto entry = this->digests.find(digest);
    if (entry == this->digests.end()) {
        return PoisonVerdict::Clear;
    }
    const core::Duration age = now - entry->second.losses.rbegin()->first;
    if (age < this->options.isolationTime && this->isolated(digest, entry->second)) {
        return PoisonVerdict::Isolated;
    }
    return age < this->options.suspicionWindow ? PoisonVerdict::Suspect : PoisonVerdict::Clear;
}

bool PoisonDetector::mayRun(const std::string& digest, const std::string& endpoint, core::TimePoint now) const
{
    switch (this->verdict(digest, now)) {
    case PoisonVerdict::Clear:
        return true;
    case PoisonVerdict::Suspect:
        return !hasOther(this->suspectsByDigest, digest, endpoint)
            && !hasOther(this->suspectsByEndpoint, endpoint, digest);
    default:
        return false;
    }
}

void PoisonDetector::suspectStarted(const std::string& digest, const std::string& endpoint)
{
    this->suspectsByDigest.emplace(digest, endpoint);
    this->suspectsByEndpoint.emplace(endpoint, digest);
}

void PoisonDetector::suspectEnded(const std::string& digest, const std::string& endpoint)
{
    eraseOne(this->suspectsByDigest, digest, endpoint);
    eraseOne(this->suspectsByEndpoint, endpoint, digest);
}

void PoisonDetector::tick(core::TimePoint now)
{
    while (!this->losses.empty() && now - this->losses.begin()->first.first >= this->options.isolationTime) {
        this->dropLoss(this->losses.begin());
    }
    std::vector<std::string> expired;
    for (const auto& [digest, entry] : this->digests) {
        if (this->verdict(digest, now) == PoisonVerdict::Clear) {
            expired.push_back(digest);
        }
    }
    for (const std::string& digest : expired) {
        this->dropDigest(digest);
    }
}

void PoisonDetector::recordLoss(const std::string& endpoint, std::span<const std::string> present, core::TimePoint at)
{
    if (present.empty()) {
        return;
    }
    const auto loss = this->findOrAddLoss(endpoint, at);
    const LossKey key = loss->first;
    for (const std::string& digest : present) {
        if (loss->second.size() >= this->options.maxDigestsPerLoss) {
            break;
        }
        if (!loss->second.insert(digest).second) {
            continue;
        }
        DigestEntry& entry = this->digests[digest];
        if (!entry.losses.empty()) {
            this->evictionOrder.erase(evictionKey(digest, entry));
        }
        entry.losses.insert(key);
        this->evictionOrder.insert(evictionKey(digest, entry));
    }
    while (this->digests.size() > this->options.maxDigests) {
        this->dropDigest(std::get<2>(*this->evictionOrder.begin()));
    }
    while (this->losses.size() > this->options.maxLosses) {
        this->dropLoss(this->losses.begin());
    }
}

PoisonDetector::LossMap::iterator PoisonDetector::findOrAddLoss(const std::string& endpoint, core::TimePoint at)
{
    const auto last = this->losses.upper_bound({ at + this->options.lossMergeWindow, endpoint });
    for (auto loss = this->losses.lower_bound({ at - this->options.lossMergeWindow, "" }); loss != last; ++loss) {
        if (loss->first.second == endpoint) {
            return loss;
        }
    }
    return this->losses.try_emplace({ at, endpoint }).first;
}

void PoisonDetector::dropLoss(LossMap::iterator loss)
{
    for (const std::string& digest : loss->second) {
        DigestEntry& entry = this->digests.at(digest);
        this->evictionOrder.erase(evictionKey(digest, entry));
        entry.losses.erase(loss->first);
        if (entry.losses.empty()) {
            this->digests.erase(digest);
        } else {
            this->evictionOrder.insert(evictionKey(digest, entry));
        }
    }
    this->losses.erase(loss);
}

void PoisonDetector::dropDigest(const std::string& digest)
{
    // `digest` may refer to a key that is erased below, so the key of the extracted node is used instead.
    const auto node = this->digests.extract(digest);
    this->evictionOrder.erase(evictionKey(node.key(), node.mapped()));
    for (const LossKey& key : node.mapped().losses) {
        const auto loss = this->losses.find(key);
        loss->second.erase(node.key());
        if (loss->second.empty()) {
            this->losses.erase(loss);
        }
    }
}

PoisonDetector::EvictionKey PoisonDetector::evictionKey(const std::string& digest, const DigestEntry& entry)
{
    return { entry.losses.size() > 1, entry.losses.rbegin()->first, digest };
}

std::pair<std::size_t, std::size_t> PoisonDetector::lossCounts(const std::string& digest) const
{
    const DigestEntry& entry = this->digests.at(digest);
    const auto alone = [this](const LossKey& key) { return this->losses.at(key).size() == 1; };
    const auto count = std::count_if(entry.losses.begin(), entry.losses.end(), alone);
    return { entry.losses.size(), static_cast<std::size_t>(count) };
}

bool PoisonDetector::explainedByOther(const std::string& digest, const LossKey& loss) const
{
    const auto own = this->lossCounts(digest);
    const auto& present = this->losses.at(loss);
    return std::any_of(present.begin(), present.end(),
        [&](const std::string& other) { return other != digest && this->lossCounts(other) > own; });
}

bool PoisonDetector::inPlatformFailure(const std::string& digest, const LossKey& loss) const
{
    std::size_t total = 0;
    std::size_t withDigest = 0;
    const auto last = this->losses.upper_bound({ loss.first + this->options.burstWindow, "" });
    for (auto each = this->losses.lower_bound({ loss.first - this->options.burstWindow, "" }); each != last; ++each) {
        total += 1;
        withDigest += each->second.contains(digest) ? 1 : 0;
    }
    return total >= this->options.minBurstLosses && withDigest * 2 < total;
}

bool PoisonDetector::isolated(const std::string& digest, const DigestEntry& entry) const
{
    const LossKey* previous = nullptr;
    for (const LossKey& loss : entry.losses) {
        if (entry.losses.size() < 2 || this->explainedByOther(digest, loss) || this->inPlatformFailure(digest, loss)) {
            continue;
        }
        if (previous != nullptr && loss.first - previous->first <= this->options.suspicionWindow) {
            return true;
        }
        previous = &loss;
    }
    return false;
}

} // namespace lagoontiller::policy
