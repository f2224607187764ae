#pragma once

#include "gateway/RowExpiry.h"
#include "gateway/TableParts.h"

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief One completed turn; immutable.
struct Turn {
    std::string id;
    /// \brief Ids of the earlier turns of the chain, oldest first.
    std::vector<std::string> ancestors;
    std::string input;
    /// \brief Data of the events, each followed by a line feed.
    std::string output;
    /// \brief Time of the store's clock in milliseconds until which the row is kept at least; 0 if unknown.
    std::uint64_t keptUntilMs = 0;
    [[nodiscard]] bool operator==(const Turn&) const = default;
};

enum class HistoryFailure : int {
    /// \brief The turn does not exist.
    NotFound,
    /// \brief The store could not be read.
    Unavailable,
};

/// \brief Turns of a chain, oldest first; the requested turn is the last one.
using Chain = std::vector<std::shared_ptr<const Turn>>;

/// \brief Turns in the store, with an in-memory cache of the most recently used ones.
///
/// A turn is stored as one row under its id, followed by further rows if it is large, so any node finds it with one
/// read. It contains the ids of its ancestors, so the rest of the chain is read in parallel. Repeated or delayed writes
/// are harmless because the content of rows never changes; only their expiry is extended while the chain grows.
class TurnStore {
public:
    TurnStore(RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry, const TableParts& tableParts,
        std::size_t maxCacheBytes, std::size_t maxRowBytes);

    /// \brief Loads the turn and its ancestors from the cache or the store.
    void load(const std::string& turn, std::function<void(tl::expected<Chain, HistoryFailure>)> done);
    /// \brief Writes the turn; `done` receives whether it is durable.
    void commit(
        const std::shared_ptr<const Turn>& turn, core::Duration retention, std::function<void(bool durable)> done);

    /// \brief Adds a durable turn to the cache.
    void cache(const std::shared_ptr<const Turn>& turn);
    /// \brief Whether the complete chain of the turn is cached.
    [[nodiscard]] bool isCached(const std::string& turn) const;
    /// \brief The chain of the turn; empty if any part of it is not cached.
    [[nodiscard]] Chain cachedChain(const std::string& turn);
    [[nodiscard]] std::size_t cachedBytes() const noexcept { return this->cacheBytes; }

private:
    using TurnPtr = std::shared_ptr<const Turn>;
    struct CacheEntry {
        TurnPtr turn;
        std::list<std::string>::iterator lruPosition;
    };
    struct LoadOperation;
    struct ReadOperation;
    struct WriteOperation;

    [[nodiscard]] TurnPtr findCached(const std::string& id);
    void readTurn(const std::string& id, std::function<void(tl::expected<TurnPtr, HistoryFailure>)> done);
    void loadAncestors(const std::shared_ptr<LoadOperation>& operation);
    void readRows(const std::shared_ptr<ReadOperation>& operation, const std::string& from);
    void readEnded(const ReadOperation& operation);
    void write(const TurnPtr& turn, core::Duration retainFor, std::function<void(bool durable)> done);
    void writeRows(const std::shared_ptr<WriteOperation>& operation);
    /// \brief Extends the expiry of the turn's ancestors to that of the turn where needed.
    void extendAncestorRetention(const Turn& turn, core::Duration retention);

    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    const TableParts& tableParts;
    std::size_t maxCacheBytes;
    std::size_t maxRowBytes;
    std::unordered_map<std::string, CacheEntry> turns;
    std::list<std::string> lruOrder;
    std::size_t cacheBytes = 0;
};

} // namespace lagoontiller::gateway
