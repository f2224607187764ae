#pragma once

#include "gateway/StoreHealth.h"

#include <deque>
#include <map>

namespace lagoontiller::gateway {

/// \brief Removes rows written by this node after their retention.
///
/// A row is removed only in the version that this node wrote; a row that another node has renewed is kept.
class RowExpiry {
public:
    RowExpiry(RowStore& store, StoreHealth& storeHealth)
        : store(store)
        , storeHealth(storeHealth)
    {
    }

    /// \brief Schedules the removal of a written row, replacing an earlier removal time of the row.
    void schedule(const RowKey& key, std::uint64_t version, core::TimePoint removeAt);
    /// \brief Removes a limited number of due rows; call periodically.
    void tick(core::TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->versions.size(); }

private:
    struct ScheduledRemoval {
        core::TimePoint at {};
        RowKey key;
        std::uint64_t version = 0;
    };

    void remove(const ScheduledRemoval& due);

    RowStore& store;
    StoreHealth& storeHealth;
    std::deque<ScheduledRemoval> queue;
    std::map<RowKey, std::uint64_t> versions;
};

} // namespace lagoontiller::gateway
