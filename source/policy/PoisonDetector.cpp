#include "policy/PoisonDetector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lagoontiller::policy {

namespace {

/// \brief Number of losses from which a digest explains the losses at which it was present.
constexpr std::size_t recurrentLosses = 3;
constexpr char callerSeparator = '/';

std::string_view contentOf(std::string_view digest)
{
    return digest.substr(0, digest.find(callerSeparator));
}

bool hasCaller(std::string_view digest)
{
    return digest.find(callerSeparator) != std::string_view::npos;
}

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
    if (hasCaller(digest)) {
        this->recordSuccess(contentOf(digest), now);
    }
    const auto entry = this->digests.find(digest);
    if (entry != this->digests.end() && this->verdict(digest, now) == PoisonVerdict::Suspect) {
        this->dropDigest(digest);
    }
}

void PoisonDetector::recordSuccess(std::string_view content, core::TimePoint now)
{
    if (this->recentSuccesses.contains(content)) {
        return;
    }
    if (this->recentSuccesses.size() >= this->options.maxDigests
        || now - this->successesSince >= this->options.suspicionWindow) {
        this->earlierSuccesses = std::exchange(this->recentSuccesses, {});
        this->successesSince = now;
    }
    this->recentSuccesses.emplace(content);
}

PoisonVerdict PoisonDetector::verdict(const std::string& digest, core::TimePoint now) const
{
    if (this->isContentIsolated(digest, now)) {
        return PoisonVerdict::Isolated;
    }
    const auto entry = this->digests.find(digest);
    return entry == this->digests.end() ? PoisonVerdict::Clear : this->callerVerdict(digest, entry->second, now);
}

PoisonVerdict PoisonDetector::callerVerdict(
    const std::string& digest, const DigestEntry& entry, core::TimePoint now) const
{
    const core::Duration age = now - entry.losses.rbegin()->first;
    if (age < this->options.isolationTime && this->isolated(digest, entry)) {
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
        if (this->callerVerdict(digest, entry, now) == PoisonVerdict::Clear) {
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

bool PoisonDetector::explainedByOther(const std::string& digest, const LossKey& loss, std::string_view content) const
{
    const auto own = this->lossCounts(digest);
    const auto& present = this->losses.at(loss);
    return std::any_of(present.begin(), present.end(), [&](const std::string& other) {
        return other != digest && (content.empty() || contentOf(other) != content) && this->lossCounts(other) > own;
    });
}

bool PoisonDetector::hasOtherRecurrentDigest(const std::string& digest, const std::set<std::string>& present) const
{
    return std::any_of(present.begin(), present.end(), [&](const std::string& other) {
        return other != digest && this->digests.at(other).losses.size() >= recurrentLosses;
    });
}

bool PoisonDetector::inPlatformFailure(const std::string& digest, const LossKey& loss) const
{
    std::size_t total = 0;
    std::size_t withDigest = 0;
    const auto last = this->losses.upper_bound({ loss.first + this->options.burstWindow, "" });
    for (auto each = this->losses.lower_bound({ loss.first - this->options.burstWindow, "" }); each != last; ++each) {
        const bool present = each->second.contains(digest);
        total += present || !this->hasOtherRecurrentDigest(digest, each->second) ? 1 : 0;
        withDigest += present ? 1 : 0;
    }
    return total >= this->options.minBurstLosses && withDigest * 2 < total;
}

std::vector<PoisonDetector::LossKey> PoisonDetector::countedLosses(
    const std::string& digest, const DigestEntry& entry) const
{
    std::vector<LossKey> counted;
    core::TimePoint burstAt {};
    std::size_t lossesInBurst = 0;
    for (const LossKey& loss : entry.losses) {
        if (this->explainedByOther(digest, loss)) {
            continue;
        }
        if (!this->inPlatformFailure(digest, loss)) {
            counted.push_back(loss);
            continue;
        }
        if (lossesInBurst == 0 || loss.first - burstAt > this->options.burstWindow) {
            burstAt = loss.first;
            lossesInBurst = 0;
        }
        ++lossesInBurst;
        if (lossesInBurst > 1 && lossesInBurst <= this->options.isolatingLosses) {
            counted.push_back(loss);
        }
    }
    return counted;
}

bool PoisonDetector::isolated(const std::string& digest, const DigestEntry& entry) const
{
    if (entry.losses.size() < 2) {
        return false;
    }
    const auto counted = this->countedLosses(digest, entry);
    std::vector<LossKey> alone;
    std::copy_if(counted.begin(), counted.end(), std::back_inserter(alone),
        [this](const LossKey& loss) { return this->losses.at(loss).size() == 1; });
    const auto areWithinWindow = [this](const std::vector<LossKey>& losses, std::size_t needed) {
        for (std::size_t last = needed - 1; last < losses.size(); ++last) {
            if (losses[last].first - losses[last + 1 - needed].first <= this->options.suspicionWindow) {
                return true;
            }
        }
        return false;
    };
    return areWithinWindow(counted, this->options.isolatingLosses) || areWithinWindow(alone, 2);
}

PoisonDetector::ContentLosses PoisonDetector::contentLosses(const std::string& digest, core::TimePoint now) const
{
    ContentLosses result;
    if (!hasCaller(digest)) {
        return result;
    }
    const auto content = contentOf(digest);
    if (this->recentSuccesses.contains(content) || this->earlierSuccesses.contains(content)) {
        return result;
    }
    const auto prefix = std::string(content) + callerSeparator;
    const auto first = this->digests.lower_bound(prefix);
    for (auto each = first; each != this->digests.end() && each->first.starts_with(prefix); ++each) {
        const auto before = result.losses.size();
        for (const LossKey& loss : each->second.losses) {
            if (now - loss.first < this->options.isolationTime && !this->explainedByOther(each->first, loss, content)) {
                result.losses.insert(loss);
            }
        }
        result.callers += result.losses.size() > before ? 1 : 0;
    }
    return result;
}

bool PoisonDetector::isContentIsolated(const std::string& digest, core::TimePoint now) const
{
    if (this->digests.empty()) {
        return false;
    }
    const auto found = this->contentLosses(digest, now);
    return found.callers > 1 && found.losses.size() >= std::max(this->options.isolatingLosses, recurrentLosses)
        && found.losses.rbegin()->first - found.losses.begin()->first > this->options.burstWindow;
}

bool PoisonDetector::isIsolatedByNextLoss(const std::string& digest, core::TimePoint now) const
{
    if (this->contentLosses(digest, now).losses.size() >= recurrentLosses) {
        return true;
    }
    const auto entry = this->digests.find(digest);
    return entry != this->digests.end()
        && this->countedLosses(digest, entry->second).size() + 1 >= this->options.isolatingLosses;
}

} // namespace lagoontiller::policy
