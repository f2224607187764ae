#pragma once

#include "gateway/StoreHealth.h"
#include "gateway/TableParts.h"

#include <optional>
#include <random>

namespace lagoontiller::gateway {

/// \brief A table whose rows expire and are distributed over all table parts.
struct SweptTable {
    std::string name;
    /// \brief Expiry of a row in milliseconds of the store's clock; empty if the row cannot be decoded.
    std::optional<std::uint64_t> (*keptUntilMs)(const Row& row) = nullptr;
};

/// \brief Removes expired rows that their writer did not remove, for example because it died.
///
/// Every node reads a few rows at a time in key order, starting at a random key. A row is removed only in the version
/// that was read.
class Sweeper {
public:
    Sweeper(RowStore& store, StoreHealth& storeHealth, const TableParts& tableParts, std::vector<SweptTable> tables,
        std::uint64_t seed);

    /// \brief Checks the next rows once the interval has passed; does nothing during a store outage and while the
    /// number of table parts is not known.
    void tick(core::TimePoint now);

private:
    void removeExpired(const SweptTable& table, const RowPage& page);
    void remove(const Row& row);

    RowStore& store;
    StoreHealth& storeHealth;
    const TableParts& tableParts;
    std::vector<SweptTable> tables;
    std::mt19937_64 random;
    std::size_t nextTable = 0;
    core::TimePoint nextSweepAt {};
};

} // namespace lagoontiller::gateway
