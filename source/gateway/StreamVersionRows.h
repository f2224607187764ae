#pragma once

#include "gateway/RowExpiry.h"
#include "gateway/RowStore.h"
#include "gateway/StoreHealth.h"
#include "gateway/StreamVersions.h"
#include "gateway/TableParts.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>

namespace lagoontiller::gateway {

/// \brief Rows that state which service and software version began a stream, for callers that resume it after all nodes
/// that remember it have failed.
///
/// They are written only while a stream can have several origins, and with at most `maxStreamCallsPerSecond` store
/// calls a second of all nodes. Under load a call writes the rows of several streams, so that a release at peak load
/// still has a row for each stream; beyond that the latest streams are remembered in memory only.
class StreamVersionRows {
public:
    static constexpr auto table = "streams";

    StreamVersionRows(RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry, const TableParts& tableParts)
        : store(store)
        , storeHealth(storeHealth)
        , rowExpiry(rowExpiry)
        , tableParts(tableParts)
    {
    }

    /// \brief Number of nodes that share the rate of writes.
    void setNodeCount(std::size_t count) { this->nodeCount = std::max<std::size_t>(count, 1); }
    /// \brief Writes the row at once, or with others when this node has used up its part of the rate. A write that the
    /// store refuses is repeated until the stream cannot be resumed any more.
    void write(const std::string& stream, const StreamOrigin& origin, core::Duration resumable, core::TimePoint now);
    /// \brief Writes the rows that wait; call several times a second.
    void tick(core::TimePoint now);
    /// \brief Reads the origin of the stream; empty if there is no row.
    void read(
        const std::string& stream, const std::function<void(const StoreResult<std::optional<StreamOrigin>>&)>& done);
    /// \brief Expiry of a row in milliseconds of the store's clock; empty if the row cannot be decoded.
    [[nodiscard]] static std::optional<std::uint64_t> keptUntilMs(const Row& row);

private:
    struct PendingRow {
        RowKey key;
        std::string value;
        core::TimePoint removeAt {};
    };

    /// \brief Writes the first `count` rows that wait in one call.
    void writePending(std::size_t count);
    void addPending(PendingRow&& row);
    [[nodiscard]] RowKey rowKey(const std::string& stream) const;

    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    const TableParts& tableParts;
    std::size_t nodeCount = 1;
    /// \brief Writes that this node may make at once.
    double permits = 0;
    core::TimePoint permitsUpdatedAt {};
    std::deque<PendingRow> pending;
};

/// \brief Store calls per second of all nodes together; a quarter of the write rate of the smallest store.
inline constexpr double maxStreamCallsPerSecond = 200;

} // namespace lagoontiller::gateway
