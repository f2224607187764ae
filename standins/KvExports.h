#pragma once

#include "bench/fakes/PrefixCache.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lagoontiller::standins {

/// \brief Cached prefix of a program in transfer between two engines.
struct KvExport {
    std::string program;
    fakes::CachedPrefix prefix;
    std::uint64_t bytes = 0;
};

/// \brief Exports of all engines of this process, by source address and handle. Engines run on several threads.
class KvExports {
public:
    /// \brief Returns the handle of the export.
    [[nodiscard]] std::string add(const std::string& source, KvExport exported);
    [[nodiscard]] std::optional<KvExport> find(const std::string& source, const std::string& handle) const;
    /// \brief Removes the exports of an engine that went down.
    void drop(const std::string& source);

private:
    mutable std::mutex mutex;
    std::map<std::pair<std::string, std::string>, KvExport> exports;
    std::uint64_t last = 0;
};

} // namespace lagoontiller::standins
