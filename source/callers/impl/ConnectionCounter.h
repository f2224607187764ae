#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace lagoontiller::callers::impl {

/// \brief Counts open connections per remote address. Thread-safe.
class ConnectionCounter {
public:
    explicit ConnectionCounter(std::size_t limit)
        : limit(limit)
    {
    }

    /// \brief Whether the address has fewer open connections than the limit.
    [[nodiscard]] bool allows(const std::string& address) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->counts.find(address);
        return found == this->counts.end() || found->second < this->limit;
    }

    void opened(const std::string& address)
    {
        const std::lock_guard lock(this->mutex);
        ++this->counts[address];
    }

    void closed(const std::string& address)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->counts.find(address);
        if (found != this->counts.end() && --found->second == 0)
            this->counts.erase(found);
    }

private:
    std::size_t limit;
    mutable std::mutex mutex;
    std::map<std::string, std::size_t> counts;
};

} // namespace lagoontiller::callers::impl
