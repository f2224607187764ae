#pragma once

#include "gateway/StoreHealth.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>

namespace lagoontiller::gateway {

struct TableEvents {
    /// \brief A row was added or changed.
    std::function<void(const Row&)> changed;
    /// \brief A row was removed and is not expected to reappear.
    std::function<void(const std::string& key)> removed;
    /// \brief All rows as of `sentAt` or later have been applied; optional.
    std::function<void(core::BootTimePoint sentAt)> confirmed {};
};

/// \brief Follows the rows of one table (part "") through an initial list and long-polled changes.
///
/// Rows that disappear during or shortly after a store outage may have expired only because of it. They are kept for
/// `reappearanceGrace` and dropped if they are still missing. A list that is older than the known state is ignored.
class TableWatch {
public:
    TableWatch(asio::io_context& context, RowStore& store, const StoreHealth& storeHealth, std::string table,
        TableEvents events);

    /// \brief Lists the table and follows its changes; restarts by itself after failures.
    void start();
    /// \brief Sets the duration of a long poll.
    void setPollWait(core::Duration wait) noexcept { this->pollWait = wait; }
    /// \brief Reads the table once through another way to the store, while the watch fails; for tables of one page.
    void readThrough(RowStore& other);
    /// \brief Time of the last answer that reflected the current state of the table.
    [[nodiscard]] core::TimePoint confirmedAt() const noexcept { return this->confirmedTime; }
    /// \brief Whether the table has been listed completely at least once.
    [[nodiscard]] bool synchronised() const noexcept { return this->hasListed; }

private:
    void readPage(const std::string& from);
    void confirm(core::BootTimePoint sentAt);
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
    core::Duration pollWait;
    /// \brief Time at which the list or the poll in progress was sent.
    core::BootTimePoint sentAt {};
    bool readsThrough = false;
    std::uint64_t version = 0;
    std::uint64_t listVersion = 0;
    bool hasListed = false;
    core::TimePoint confirmedTime {};
    core::TimePoint recoveredAt {};
};

} // namespace lagoontiller::gateway
