#pragma once

#include "gateway/StoreHealth.h"

#include <deque>
#include <map>

namespace lagoontiller::gateway {

/// \brief Removes rows of this node some time after their retention has passed.
///
/// A row is removed only in the version that this node wrote: a row that another node has renewed stays.
class RowExpiry {
public:
    RowExpiry(RowStore& store, StoreHealth& storeHealth)
        : store(store)
        , storeHealth(storeHealth)
    {
    }

    /// \brief Notes a written row and when it may go.
    void schedule(const RowKey& key, std::uint64_t version, core::TimePoint removeAt);
    /// \brief Removes what is due, a few rows per call; due about once a second.
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
