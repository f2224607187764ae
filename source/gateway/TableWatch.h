#pragma once

#include "gateway/StoreHealth.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace lagoontiller::gateway {

struct TableEvents {
    /// \brief A row is new or has changed.
    std::function<void(const Row&)> changed;
    /// \brief A row is gone for good.
    std::function<void(const std::string& key)> removed;
};

/// \brief Follows the rows of one table (part "") by a list and long-polled changes.
///
/// Rows that vanish while or shortly after the store was in trouble may only have lapsed: they are kept for
/// `lapseGrace` and dropped if they are still missing then. A list that is older than what is known is not used.
class TableWatch {
public:
    TableWatch(asio::io_context& context, RowStore& store, const StoreHealth& storeHealth, std::string table,
        TableEvents events);

    void start();
    /// \brief Time of the last answer that showed the table as it was then.
    [[nodiscard]] core::TimePoint confirmedAt() const noexcept { return this->confirmed; }
    [[nodiscard]] bool synchronised() const noexcept { return this->hasListed; }

private:
    void readPage(const std::string& from);
    void handlePage(StoreResult<RowPage> page);
    void waitForChanges();
    void handleChanges(StoreResult<RowPage> page);
    void applyRow(const Row& row, core::TimePoint now);
    void markMissing(const std::string& key, core::TimePoint now);
    void dropOverdue(core::TimePoint now);
    void scheduleRestart();
    void scheduleMissingCheck();

    RowStore& store;
    const StoreHealth& storeHealth;
    std::string table;
    TableEvents events;
    asio::steady_timer retryTimer;
    asio::steady_timer missingCheckTimer;
    std::map<std::string, std::uint64_t> knownVersions;
    std::map<std::string, core::TimePoint> missingUntil;
    std::map<std::string, Row> listedRows;
    std::uint64_t version = 0;
    std::uint64_t listVersion = 0;
    bool hasListed = false;
    core::TimePoint confirmed {};
    core::TimePoint recoveredAt {};
};

} // namespace lagoontiller::gateway
