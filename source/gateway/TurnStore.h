#pragma once

#include "gateway/RowExpiry.h"

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief One turn that was answered whole; immutable.
struct Turn {
    std::string id;
    /// \brief Earlier turns of the chain, the oldest first.
    std::vector<std::string> ancestors;
    std::string input;
    /// \brief Data of the events, each followed by a line feed.
    std::string output;
    /// \brief Time of the store's clock until which the row is kept at least, in ms; 0 when not known.
    std::uint64_t keptUntilMs = 0;
    [[nodiscard]] bool operator==(const Turn&) const = default;
};

enum class HistoryFailure : int {
    /// \brief No such turn exists.
    NotFound,
    /// \brief The store could not be asked.
    Unavailable,
};

/// \brief Turns of a chain, the oldest first, the named one last.
using Chain = std::vector<std::shared_ptr<const Turn>>;

/// \brief Turns in the store, with the recently used ones in memory.
///
/// A turn is one row under its id, with further rows for a large one, so that any node finds it with one read, and
/// names its ancestors, so that the rest of the chain is read at once. The content of rows never changes, which makes
/// repeated and late writes harmless; only the time for which a row is kept grows while its chain goes on.
class TurnStore {
public:
    TurnStore(RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry, std::size_t maxCacheBytes,
        std::size_t maxRowBytes);

    void load(const std::string& turn, std::function<void(tl::expected<Chain, HistoryFailure>)> done);
    /// \brief Writes the turn; `done` says whether it is durable.
    void commit(
        const std::shared_ptr<const Turn>& turn, core::Duration retention, std::function<void(bool durable)> done);

    /// \brief Keeps a durable turn in memory.
    void cache(const std::shared_ptr<const Turn>& turn);
    /// \brief Whether the whole chain of the turn is in memory.
    [[nodiscard]] bool isCached(const std::string& turn) { return !this->cachedChain(turn).empty(); }
    /// \brief The chain of the turn; empty when a part of it is not in memory.
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
    /// \brief Keeps the ancestors of the turn as long as the turn itself.
    void extendAncestorRetention(const Turn& turn, core::Duration retention);

    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    std::size_t maxCacheBytes;
    std::size_t maxRowBytes;
    std::unordered_map<std::string, CacheEntry> turns;
    std::list<std::string> lruOrder;
    std::size_t cacheBytes = 0;
};

} // namespace lagoontiller::gateway
