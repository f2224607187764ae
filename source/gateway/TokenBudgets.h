#pragma once

#include "gateway/RowExpiry.h"
#include "gateway/TableParts.h"
#include "state/Backoff.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

enum class BudgetAnswer : int {
    Granted,
    /// \brief The tokens used so far leave too few for the turn.
    Exhausted,
    /// \brief Other nodes hold unused tokens, which they return once the program is idle there.
    Held,
    /// \brief The tokens that rows may allot are spent; the outage part of the budget is not theirs.
    RowsExhausted,
    /// \brief The store did not answer in time.
    Unavailable,
};

struct BudgetOptions {
    /// \brief Idle time after which an unused share is returned. Must be below 1 s, after which the platform contract
    /// counts the tokens of ended turns as free for a refused program.
    core::Duration idleReturnDelay = std::chrono::milliseconds(400);
    /// \brief Interval of the checks for shares returned by other nodes, and their maximum number before a turn is
    /// refused.
    core::Duration recheckInterval = std::chrono::milliseconds(300);
    int maxRechecks = 2;
};

struct BudgetRequest {
    std::string program;
    std::uint64_t budget = 0;
    /// \brief Maximum number of output tokens of the turn.
    std::uint64_t tokens = 0;
    core::Duration retention {};
    /// \brief Maximum duration of the turn.
    core::Duration hold {};
    /// \brief Part of the budget that the rows allot only after its holder has given it up (OutageTokens).
    std::uint64_t outagePart = 0;
    /// \brief Whether the turn needs nothing else of the store, so that it can be served while the store is away.
    bool mayRunInOutage = false;
};

/// \brief Access to the nodes that hold shares; a node key is NAME:INCARNATION.
struct ShareHolders {
    /// \brief Whether the node seems to run. A wrong answer never lets a program exceed its budget by more than one
    /// turn.
    std::function<bool(const std::string& nodeKey)> isAlive;
    /// \brief Asks the node to return the tokens of the program that it does not need.
    std::function<void(const std::string& nodeKey, const std::string& program)> askToReturn;
    /// \brief Holder of the outage part of the program; empty if it is not known.
    std::function<std::string(const std::string& program)> outageHolder {};
    /// \brief Asks that holder to give the part up for the rows; `ownedByRows` if it was given up before, to another
    /// one. `retention` is the time after the beginning of a turn in which the program may return.
    std::function<void(
        const std::string& program, core::Duration retention, bool ownedByRows, std::function<void(bool)> done)>
        giveUpOutagePart {};
};

/// \brief Enforces the output token budgets of programs across nodes, failed attempts and restarts.
///
/// Each program has one row, which contains a share for each incarnation of a node that runs it: the number of tokens
/// that the node may have used. Before a node starts a turn that its share does not cover, it raises the share, on
/// condition that the version of the row is unchanged. When the program is idle at the node, the share is lowered to
/// the tokens actually used. The sum of the shares never exceeds the budget, so the budget holds even if nodes fail. A
/// share is raised by up to one turn more than needed, so that later turns can start without a store call, also during
/// an outage.
///
/// If a node seems dead, another node releases the tokens that it held ahead of its turns. It may only be frozen or cut
/// off and use them nevertheless. So all tokens that are held ahead or released amount to one turn at most, and a
/// program can exceed its budget by one turn at most.
class TokenBudgets {
public:
    using AnswerHandler = std::function<void(BudgetAnswer)>;

    TokenBudgets(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry,
        const TableParts& tableParts, std::string nodeKey, BudgetOptions options = {});

    void setShareHolders(ShareHolders nodes) { this->holders = std::move(nodes); }

    /// \brief Calls `done` immediately if the share of this node covers the turn, else after the store has answered.
    void reserve(const BudgetRequest& request, core::TimePoint now, AnswerHandler done);
    /// \brief The answer that `reserve` would give without asking the store; empty if it would ask.
    [[nodiscard]] std::optional<BudgetAnswer> localAnswer(const BudgetRequest& request, core::TimePoint now) const;
    /// \brief Whether the program has neither used tokens nor a turn in progress, as far as this node knows.
    [[nodiscard]] bool isUnused(const std::string& program) const;
    /// \brief Records the end of a turn that used `used` of its `reserved` tokens.
    void settle(const std::string& program, std::uint64_t reserved, std::uint64_t used, core::TimePoint now);
    /// \brief Returns unused shares of idle programs that other nodes use too or whose home is another node, and renews
    /// rows that would expire too early after the last turn; call several times a second.
    void tick(core::TimePoint now, const std::function<bool(const std::string&)>& isHome);
    /// \brief Returns the unused share of the program if it is idle at this node.
    void returnUnusedShare(const std::string& program);
    /// \brief Returns all unused shares on shutdown; call repeatedly until the process ends.
    void returnUnusedShares();
    [[nodiscard]] std::size_t size() const noexcept { return this->programs.size(); }

    static constexpr auto table = "budgets";
    /// \brief Expiry of a program's row in milliseconds of the store's clock; empty if the row cannot be decoded.
    [[nodiscard]] static std::optional<std::uint64_t> keptUntilMs(const Row& row);

private:
    /// \brief Outage after which reservations are refused at once; single calls may be lost without an outage.
    static constexpr core::Duration maxTransientOutage = std::chrono::milliseconds(500);
    /// \brief Time for which rows are kept beyond the retention, so that a row outlives turns that needed no write.
    static constexpr core::Duration rowRetentionMargin = std::chrono::seconds(30);
    /// \brief A row is renewed if a turn ended this long after the last write; half of the margin, which leaves time
    /// for several attempts.
    static constexpr core::Duration renewalAge = rowRetentionMargin / 2;
    /// \brief Cached programs are dropped this long after the retention of their last turn, when the row has expired
    /// too.
    static constexpr core::Duration evictionMargin = rowRetentionMargin * 2;

    struct Share {
        std::uint64_t tokens = 0;
        std::uint64_t used = 0;
        /// \brief Part of the tokens that no turn had been granted.
        std::uint64_t ahead = 0;
        /// \brief Tokens that other nodes have released; the node may have used them.
        std::uint64_t released = 0;
    };
    /// \brief A write without an answer; it may still take effect while the row has this version.
    struct UnconfirmedWrite {
        std::uint64_t version = 0;
        /// \brief Lowest own share among these writes.
        std::uint64_t share = 0;
    };
    struct PendingReservation {
        std::uint64_t tokens = 0;
        AnswerHandler done;
        bool mayRunInOutage = false;
        int rechecks = 0;
        int overloads = 0;
        int unanswered = 0;
        /// \brief Delays between attempts while the store is overloaded.
        state::Backoff backoff { std::chrono::milliseconds(60), std::chrono::milliseconds(480) };
    };
    struct Program {
        /// \brief Name of the share in the row. Changes each time the program is loaded into memory, so that a share
        /// whose usage was forgotten counts as held by another node.
        std::string shareId;
        std::uint64_t budget = 0;
        std::uint64_t outagePart = 0;
        /// \brief Whether the shares may amount to the whole budget, and the holder that knows it.
        bool ownsOutagePart = false;
        std::string informedHolder;
        bool holderAskInProgress = false;
        core::Duration retention {};
        /// \brief Maximum duration of the last turn.
        core::Duration hold {};
        /// \brief Last known version of the row; 0 while the row is not known to exist.
        std::uint64_t version = 0;
        std::map<std::string, Share> otherShares;
        /// \brief Durable share of this node.
        std::uint64_t share = 0;
        /// \brief Tokens used by completed turns or reserved for turns in progress.
        std::uint64_t used = 0;
        std::uint32_t turnsInProgress = 0;
        /// \brief Maximum tokens of the last turn.
        std::uint64_t turnTokens = 0;
        std::vector<PendingReservation> pending;
        bool callInProgress = false;
        /// \brief A write was not answered; the row must be read before the next write.
        bool outcomeUnknown = false;
        std::optional<UnconfirmedWrite> unconfirmedWrite;
        bool rowChecked = false;
        core::TimePoint lastUsedAt {};
        /// \brief Time of the last durable write, and of the last attempt to renew the row.
        core::TimePoint writtenAt {};
        core::TimePoint renewalAttemptedAt {};
    };

    [[nodiscard]] Program& findOrCreate(const std::string& id);
    /// \brief Whether the share of this node covers a turn of this many tokens now.
    [[nodiscard]] static bool isCovered(const Program& program, std::uint64_t tokens);
    /// \brief Whether this node's ended turns leave too few tokens for the turn, whatever the other nodes hold.
    [[nodiscard]] static bool isSpent(const Program& program, std::uint64_t tokens);
    /// \brief Whether calls to the store would wait for their time-out.
    [[nodiscard]] bool hasGivenUpStore(core::TimePoint now) const;
    /// \brief Answer to a turn that the rows cannot cover.
    [[nodiscard]] static BudgetAnswer spentAnswer(const Program& program);
    /// \brief Tokens that the shares may amount to.
    [[nodiscard]] static std::uint64_t allottable(const Program& program);
    /// \brief Asks the holder of the program's bucket to give up the outage part, or tells a new holder that it was.
    void informOutageHolder(const std::string& id, Program& program);
    void lowerShare(const std::string& id);
    /// \brief Whether the row, as last written, would expire before the retention of the last turn ends.
    [[nodiscard]] static bool needsRenewal(const Program& program);
    void grantPending(Program& program);
    void processPending(const std::string& id);
    /// \brief `ahead` is the part of the share that no turn has been granted.
    void writeRow(
        const std::string& id, Program& program, std::uint64_t share, std::uint64_t ahead, core::TimePoint now);
    void writeEnded(
        const std::string& id, std::uint64_t share, core::TimePoint sentAt, StoreResult<TransactionResult> result);
    void readRow(const std::string& id, Program& program);
    void readEnded(const std::string& id, StoreResult<RowPage> page);
    void applyRow(Program& program, const Row* row);
    /// \brief Limits the share to the lowest value that an unconfirmed write may still set.
    static void capShareByUnconfirmedWrite(Program& program);
    void refusePending(Program& program, BudgetAnswer answer);
    void processPendingAfter(const std::string& id, core::Duration delay);
    [[nodiscard]] RowKey rowKey(const std::string& id) const;
    [[nodiscard]] static Share sumOtherShares(const Program& program);
    /// \brief Whether the program is idle at this node and its share has unused tokens.
    [[nodiscard]] static bool holdsUnusedTokens(const Program& program);
    /// \brief Number of tokens that the share may exceed the granted ones by.
    [[nodiscard]] static std::uint64_t maxAhead(const Program& program);
    [[nodiscard]] bool isAlive(const std::string& shareId) const;
    /// \brief Releases what nodes that seem dead hold ahead; returns whether there was any. The next write of the row
    /// makes it durable.
    bool releaseTokensOfDeadNodes(const std::string& id, Program& program);
    /// \brief Asks the other nodes that hold unused tokens to return them; returns whether any live node holds tokens.
    bool askToReturn(const std::string& id, const Program& program);
    /// \brief Number of tokens that other nodes have used: all of the share of a node that seems dead.
    [[nodiscard]] std::uint64_t usedByOthers(const Program& program) const;
    void refuseFirstPending(const std::string& id, Program& program);
    /// \brief Whether the outage part can cover the first turn that waits, so that it need not wait for the store.
    [[nodiscard]] bool canLeaveToOutagePart(const Program& program) const;

    asio::io_context& context;
    RowStore& store;
    StoreHealth& storeHealth;
    RowExpiry& rowExpiry;
    const TableParts& tableParts;
    std::string nodeKey;
    BudgetOptions options;
    ShareHolders holders;
    state::Generator random;
    std::unordered_map<std::string, Program> programs;
    std::uint64_t lastShareId = 0;
};

} // namespace lagoontiller::gateway
