#pragma once

#include "gateway/StoreHealth.h"

#include <optional>
#include <random>

namespace lagoontiller::gateway {

/// \brief A table whose rows are kept for some time only.
struct SweptTable {
    std::string name;
    /// \brief Its rows are in the parts 0 to `parts` - 1.
    std::uint64_t partCount = 1;
    /// \brief Time of the store's clock in ms until which a row is kept; nothing when the row cannot be read.
    std::optional<std::uint64_t> (*keptUntilMs)(const Row& row) = nullptr;
};

/// \brief Removes rows whose time is over and whose writer, which would have removed them, is gone.
///
/// Every node reads a few rows at a time, in the order of their keys from a random one on. A row is removed only in the
/// version that was read.
class Sweeper {
public:
    Sweeper(RowStore& store, StoreHealth& storeHealth, std::vector<SweptTable> tables, std::uint64_t seed);

    /// \brief Reads the next rows when they are due.
    void tick(core::TimePoint now);

private:
    void removeExpired(const SweptTable& table, const RowPage& page);
    void remove(const Row& row);

    RowStore& store;
    StoreHealth& storeHealth;
    std::vector<SweptTable> tables;
    std::mt19937_64 random;
    std::size_t nextTable = 0;
    core::TimePoint nextSweepAt {};
};

} // namespace lagoontiller::gateway
