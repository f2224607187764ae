#pragma once

#include "gateway/RowExpiry.h"
#include "state/Backoff.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

enum class BudgetAnswer : int {
    Granted,
    /// \brief The tokens that were handed out leave no room for the turn.
    Exhausted,
    /// \brief Other nodes hold tokens that they may not need; they give them back when the program is idle there.
    Held,
    /// \brief The store could not be asked in time.
    Unavailable,
};

struct BudgetOptions {
    /// \brief Idle time after which an unused share is given back: below the second after which a refused program
    /// counts tokens of ended turns as free (platform contract).
    core::Duration idleReturnDelay = std::chrono::milliseconds(400);
    /// \brief Pause before the check for shares that other nodes have given back, and the number of checks before a
    /// turn is refused as exhausted.
    core::Duration recheckInterval = std::chrono::milliseconds(300);
    int maxRechecks = 2;
};

struct BudgetRequest {
    std::string program;
    std::uint64_t budget = 0;
    /// \brief Most tokens that the turn generates.
    std::uint64_t tokens = 0;
    core::Duration retention {};
    /// \brief Time within which the turn ends.
    core::Duration hold {};
};

/// \brief Holds programs to their output token budgets over all nodes, broken attempts and restarts.
///
/// One row per program has a share per node incarnation that runs it: the tokens that the node may have handed out. A
/// node raises its share, under a condition on the row's version, before it starts a turn that its share does not
/// cover, and lowers it to what was really handed out when the program has been idle there. The sum of the shares never
/// exceeds the budget, so whatever happens to a node, no more than the budget is handed out. A share is raised by up to
/// one turn more than is needed: turns then start without the store, also while it is away.
class TokenBudgets {
public:
    using AnswerHandler = std::function<void(BudgetAnswer)>;

    TokenBudgets(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry,
        std::string nodeKey, BudgetOptions options = {});

    /// \brief Calls `done` at once when this node's share covers the turn, else after the store has answered.
    void reserve(const BudgetRequest& request, core::TimePoint now, AnswerHandler done);
    /// \brief The turn ended after handing out `used` of its `reserved` tokens.
    void settle(const std::string& program, std::uint64_t reserved, std::uint64_t used, core::TimePoint now);
    /// \brief Lowers the shares of idle programs that other nodes use too, or whose home is elsewhere, and renews rows
    /// that were written long before the last turn; due several times a second.
    void tick(core::TimePoint now, const std::function<bool(const std::string&)>& isHome);
    /// \brief Gives all unused shares back: the node is about to end. Due repeatedly until then.
    void returnUnusedShares();
    [[nodiscard]] std::size_t size() const noexcept { return this->programs.size(); }

    static constexpr auto table = "budgets";
    /// \brief Parts over which programs are spread; the store runs 300 transactions a second and part.
    static constexpr std::uint64_t partCount = 16;
    /// \brief Time of the store's clock in ms until which a program's row is kept.
    [[nodiscard]] static std::optional<std::uint64_t> keptUntilMs(const Row& row);

private:
    struct Share {
        std::uint64_t tokens = 0;
        std::uint64_t used = 0;
    };
    /// \brief A transaction without an answer: it may still take effect while the row has this version.
    struct UnconfirmedWrite {
        std::uint64_t version = 0;
        /// \brief Lowest own share of such transactions.
        std::uint64_t share = 0;
    };
    struct PendingReservation {
        std::uint64_t tokens = 0;
        AnswerHandler done;
        int rechecks = 0;
        int overloads = 0;
        int unanswered = 0;
        /// \brief Pauses between attempts at a store that is over its rate.
        state::Backoff backoff { std::chrono::milliseconds(60), std::chrono::milliseconds(480) };
    };
    struct Program {
        /// \brief Name of the share in the row: another one each time the program enters this node's memory, so that a
        /// share whose use was forgotten counts as another node's.
        std::string shareId;
        std::uint64_t budget = 0;
        core::Duration retention {};
        /// \brief Version of the row as last seen; 0 while it is not known to exist.
        std::uint64_t version = 0;
        std::map<std::string, Share> otherShares;
        /// \brief Own share as it is durable.
        std::uint64_t share = 0;
        /// \brief Handed out, or reserved for turns in progress.
        std::uint64_t used = 0;
        std::uint32_t turnsInProgress = 0;
        std::vector<PendingReservation> pending;
        bool callInProgress = false;
        /// \brief A transaction was not answered: the row is read before the next one.
        bool outcomeUnknown = false;
        std::optional<UnconfirmedWrite> unconfirmedWrite;
        bool rowChecked = false;
        core::TimePoint lastUsedAt {};
        /// \brief Time of the last durable write, and of the last attempt to renew the row.
        core::TimePoint writtenAt {};
        core::TimePoint renewalAttemptedAt {};
    };

    [[nodiscard]] Program& findOrCreate(const std::string& id);
    void lowerShare(const std::string& id);
    /// \brief Whether the row was last written too long before the last turn to outlive it by the retention.
    [[nodiscard]] static bool needsRenewal(const Program& program);
    void grantPending(Program& program);
    void processPending(const std::string& id);
    void writeRow(const std::string& id, Program& program, std::uint64_t share, core::TimePoint now);
    void writeEnded(
        const std::string& id, std::uint64_t share, core::TimePoint sentAt, StoreResult<TransactionResult> result);
    void readRow(const std::string& id, Program& program);
    void readEnded(const std::string& id, StoreResult<RowPage> page);
    void applyRow(Program& program, const Row* row);
    /// \brief Keeps the share below what transactions without an answer may still lower it to.
    static void capShareByUnconfirmedWrite(Program& program);
    void refusePending(Program& program, BudgetAnswer answer);
    void processPendingAfter(const std::string& id, core::Duration delay);
    [[nodiscard]] RowKey rowKey(const std::string& id) const;
    [[nodiscard]] static Share sumOtherShares(const Program& program);

    asio::io_context& context;
    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    std::string nodeKey;
    BudgetOptions options;
    state::Generator random;
    std::unordered_map<std::string, Program> programs;
    std::uint64_t lastShareId = 0;
};

} // namespace lagoontiller::gateway
