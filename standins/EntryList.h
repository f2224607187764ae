#pragma once

#include "core/Time.h"
#include "standins/HttpClient.h"

#include <mutex>
#include <string>
#include <vector>

namespace lagoontiller::standins {

struct Entry {
    std::string address;
    std::string region;
};

/// \brief Entry nodes as listed by `/v1/entries`, cached for `keep_seconds`. Thread-safe; shared by all callers.
class EntryList {
public:
    explicit EntryList(std::vector<std::string> seeds);

    /// \brief Selects an entry in `region` when there is one, else another. `spread` distributes the
    /// programs over the entries, and each `attempt` selects a different one.
    ///
    /// With `refresh` the list is fetched even if the cached one is still valid, but not again within 200 ms.
    [[nodiscard]] std::string choose(HttpClient& client, const std::string& key, const std::string& region,
        std::size_t spread, std::size_t attempt, bool refresh);

private:
    [[nodiscard]] bool fetch(HttpClient& client, const std::string& key, const std::string& address);
    void fetchAny(HttpClient& client, const std::string& key);

    std::mutex mutex;
    std::vector<std::string> seeds;
    std::vector<Entry> entries;
    core::TimePoint validUntil;
    core::TimePoint fetchedAt;
};

} // namespace lagoontiller::standins
