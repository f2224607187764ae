#include "standins/EntryList.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lagoontiller::standins {

namespace {

constexpr core::Duration minRefreshInterval = std::chrono::milliseconds(200);

} // namespace

EntryList::EntryList(std::vector<std::string> seeds)
    : seeds(std::move(seeds))
{
    for (const auto& seed : this->seeds)
        this->entries.push_back({ seed, "" });
}

std::string EntryList::choose(HttpClient& client, const std::string& key, const std::string& region, std::size_t spread,
    std::size_t attempt, bool refresh)
{
    const std::lock_guard lock(this->mutex);
    const auto now = core::monotonicNow();
    // Callers that lose their connections at the same time share one refresh.
    const bool recent = now - this->fetchedAt < minRefreshInterval;
    if ((refresh && !recent) || now >= this->validUntil) {
        this->fetchAny(client, key);
        this->fetchedAt = core::monotonicNow();
    }
    auto ordered = this->entries;
    // The first attempt stays in the region; later attempts try the other entries of the region, then the rest.
    std::rotate(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(spread % ordered.size()), ordered.end());
    std::stable_partition(
        ordered.begin(), ordered.end(), [&region](const Entry& entry) { return entry.region == region; });
    return ordered[attempt % ordered.size()].address;
}

void EntryList::fetchAny(HttpClient& client, const std::string& key)
{
    const auto known = this->entries;
    for (const auto& entry : known) {
        if (this->fetch(client, key, entry.address))
            return;
    }
    for (const auto& seed : this->seeds) {
        if (this->fetch(client, key, seed))
            return;
    }
}

bool EntryList::fetch(HttpClient& client, const std::string& key, const std::string& address)
{
    ClientRequest request;
    request.address = address;
    request.target = "/v1/entries";
    request.headers = { "Authorization: Bearer " + key };
    request.silenceLimit = std::chrono::seconds(2);
    request.totalLimit = std::chrono::seconds(3);
    const auto response = client.send(request);
    if (!response.complete || response.status != 200)
        return false;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("entries"))
        return false;
    std::vector<Entry> received;
    for (const auto& entry : body["entries"])
        received.push_back({ entry.value("address", ""), entry.value("region", "") });
    if (received.empty())
        return false;
    this->entries = std::move(received);
    this->validUntil = core::monotonicNow() + std::chrono::seconds(body.value("keep_seconds", 0));
    return true;
}

} // namespace lagoontiller::standins
