#pragma once

#include "state/BudgetLedger.h"
#include "state/CallLedger.h"
#include "state/CommitStream.h"
#include "state/PartitionOwnership.h"
#include "tests/support/FakeStore.h"

#include <functional>
#include <map>
#include <memory>

namespace lagoontiller::tests {

/// \brief What the outside saw over all nodes and their runs.
struct Observed {
    /// \brief Sends of non-repeatable calls, by key and by request id.
    std::map<std::string, int> sentByKey;
    std::map<std::string, int> sentByRequest;
    std::set<std::string> refusedNotRun;
    /// \brief Acknowledged answers by program and turn, and results by call key.
    std::map<std::pair<std::string, std::uint32_t>, std::string> turns;
    std::map<std::string, std::string> results;
    std::map<std::string, std::uint64_t> spent;
    std::uint32_t spends = 0;
};

/// \brief One run of a node: ownership, commit stream, calls and budgets, connected as the controller connects them.
class StateNode {
public:
    static constexpr state::BudgetLimits limits { 400, 1000, 1000, std::chrono::hours(24) };

    StateNode(const std::string& name, int run, std::uint64_t seed, FakeStore& store, Observed& observed,
        const state::Partitions& partitions, core::TimePoint now)
        : name(name)
        , store(store)
        , observed(observed)
        , partitions(partitions)
        , stream(name + "-" + std::to_string(run), commitSettings(), state::Generator(seed))
        , ownership(ownershipSettings(name, this->stream.name()), partitions, state::Generator(seed + 1), now)
        , budgets(100)
    {
    }

    static state::CommitSettings commitSettings()
    {
        state::CommitSettings settings;
        settings.maxInlineBatchBytes = 200; // Small, so that batches of two or more records become objects.
        settings.maxBackoff = std::chrono::seconds(1);
        return settings;
    }

    static state::OwnershipSettings ownershipSettings(const std::string& node, const std::string& stream)
    {
        state::OwnershipSettings settings;
        settings.node = node;
        settings.stream = stream;
        settings.scanInterval = std::chrono::seconds(2);
        settings.scanPageRows = 3;
        settings.maxStartDelay = std::chrono::milliseconds(500);
        settings.maxTakeoverRows = 2;
        settings.logPageRows = 3;
        settings.maxSnapshotAge = std::chrono::seconds(2);
        settings.minSnapshotInterval = std::chrono::milliseconds(300);
        settings.maxBackoff = std::chrono::seconds(1);
        return settings;
    }

    /// \brief One run of the control loop: replies first, as an event loop delivers them, then timers.
    void loop(const std::vector<state::LiveNode>& view, core::TimePoint time)
    {
        this->now = time;
        this->calls.onControlLoop(time);
        auto replies = std::exchange(this->inbox, {});
        for (auto& reply : replies) {
            reply();
        }
        this->ownership.setNodes(view, time);
        this->handle(this->ownership.tick(time, this->stream.nextSequence()));
        this->handle(this->stream.tick(time));
    }

    void call(const core::ProgramKey& program, const std::string& key, const std::string& requestId)
    {
        const auto partition = this->partitions.partitionOf(program);
        if (!this->owns(partition)) {
            return;
        }
        const state::CallRequest request { program, key, "digest", "orders", "/charge", requestId, false };
        const auto decision = this->calls.decide(
            request, this->stores.at(partition).find(program), this->stream.storeAvailable(), this->now);
        if (const auto* refused = std::get_if<state::RefuseCall>(&decision)) {
            this->noteRefusal(requestId, refused->error);
        } else if (const auto* replay = std::get_if<state::ReplayCall>(&decision)) {
            this->observed.results[key] = replay->result.body;
        } else if (const auto* intent = std::get_if<state::CommitIntent>(&decision)) {
            const bool queued = this->append(
                partition, intent->entry,
                [=, this](core::TimePoint firstSent) { this->intentCommitted(program, key, requestId, firstSent); },
                [=, this](const core::Error& error) {
                    this->calls.onIntentRejected(program, key);
                    this->noteRefusal(requestId, error);
                });
            if (!queued) {
                this->calls.onIntentRejected(program, key);
                this->observed.refusedNotRun.insert(requestId);
            } else {
                this->awaiting[key] = { program, requestId };
            }
        }
    }

    /// \brief Gives up all calls that wait for their intent.
    void abandonCalls()
    {
        for (const auto& [key, call] : std::exchange(this->awaiting, {})) {
            if (const auto entry = this->calls.abandon(call.first, key)) {
                this->observed.refusedNotRun.insert(call.second);
                (void)this->append(this->partitions.partitionOf(call.first), *entry,
                    [=, this, program = call.first](core::TimePoint) { this->calls.onRecorded(program, key); }, {});
            }
        }
    }

    /// \brief Results of all sent calls arrive, or never will.
    void finishCalls(bool unknown)
    {
        for (const auto& [key, program] : std::exchange(this->sent, {})) {
            const auto result = "result of " + key;
            const auto entry = unknown ? this->calls.onUnknown(program, key)
                                       : this->calls.onResult(program, key, { 200, "text/plain", result });
            if (!entry) {
                continue;
            }
            (void)this->append(this->partitions.partitionOf(program), *entry,
                [=, this](core::TimePoint) {
                    this->calls.onRecorded(program, key);
                    if (!unknown) {
                        this->observed.results[key] = result;
                    }
                },
                {});
        }
    }

    void turn(const core::ProgramKey& program, const std::string& answer)
    {
        const auto partition = this->partitions.partitionOf(program);
        if (!this->owns(partition)) {
            return;
        }
        const auto* state = this->stores.at(partition).find(program);
        const auto number = (state == nullptr ? 0 : state->lastContiguousTurn()) + 1;
        if (!this->turnsPending.insert(program).second) {
            return; // Turns run in order: the next one starts after this one is recorded.
        }
        records::Entry entry = entryFor(program);
        entry.mutable_turn_finished()->set_turn(number);
        entry.mutable_turn_finished()->set_answer(answer);
        const bool queued = this->append(
            partition, entry,
            [=, this](core::TimePoint) {
                this->turnsPending.erase(program);
                this->observed.turns[{ program.customer + "/" + program.program, number }] = answer;
            },
            [=, this](const core::Error&) { this->turnsPending.erase(program); });
        if (!queued) {
            this->turnsPending.erase(program);
        }
    }

    void spend(const core::ProgramKey& program, std::uint64_t tokens)
    {
        const auto partition = this->partitions.partitionOf(program);
        if (!this->owns(partition)) {
            return;
        }
        const auto root = state::rootOf(program);
        const auto arrival
            = this->handedOver.at(partition) ? state::OwnershipOrigin::HandOver : state::OwnershipOrigin::Takeover;
        this->budgets.open(root, limits, this->stores.at(partition).budgetOf(root), arrival, this->now);
        const auto decision = this->budgets.reserve(program, tokens, state::WorkKind::Turn, this->now);
        if (const auto* now = std::get_if<state::BudgetGranted>(&decision)) {
            this->spendReserved(program, now->reservation, tokens);
        } else if (const auto* chunk = std::get_if<state::CommitChunk>(&decision)) {
            records::Entry entry = entryFor(root);
            entry.mutable_budget_reserved()->set_total_tokens(chunk->totalTokens);
            const auto reservation = chunk->reservation;
            const bool queued = this->append(
                partition, entry,
                [=, this, total = chunk->totalTokens](core::TimePoint) {
                    this->budgets.onChunkCommitted(program, total);
                    this->spendReserved(program, reservation, tokens);
                },
                [=, this](const core::Error&) { this->budgets.cancel(program, reservation); });
            if (!queued) {
                this->budgets.cancel(program, reservation);
            }
        }
    }

    void handOver(core::PartitionId partition, const std::string& successor)
    {
        if (this->owns(partition) && !this->stream.hasPending(partition) && successor != this->name
            && this->ownership.handOver(partition, successor)) {
            this->handle(this->stream.dropPartition(partition));
        }
    }

    [[nodiscard]] bool owns(core::PartitionId partition) const
    {
        return this->ownership.phase(partition) == state::PartitionPhase::Owned && this->stores.contains(partition);
    }

    const std::string name;
    FakeStore& store;
    Observed& observed;
    const state::Partitions& partitions;
    state::CommitStream stream;
    state::PartitionOwnership ownership;
    state::CallLedger calls;
    state::BudgetLedger budgets;
    std::map<core::PartitionId, state::ProgramStore> stores;
    /// \brief Replies that arrived; kept while the node is paused.
    std::vector<std::function<void()>> inbox;
    /// \brief Cleared when the node is killed, so that replies to this run are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

private:
    struct Continuation {
        records::Entry entry;
        std::function<void(core::TimePoint)> committed;
        std::function<void(const core::Error&)> rejected;
    };

    static records::Entry entryFor(const core::ProgramKey& program)
    {
        records::Entry entry;
        entry.set_customer(program.customer);
        entry.set_program(program.program);
        return entry;
    }

    bool append(core::PartitionId partition, records::Entry entry, std::function<void(core::TimePoint)> committed,
        std::function<void(const core::Error&)> rejected)
    {
        entry.set_partition(partition);
        const auto ticket = this->stream.append({ entry }, this->now);
        if (ticket) {
            this->tickets[*ticket] = { entry, std::move(committed), std::move(rejected) };
        }
        return ticket.has_value();
    }

    void intentCommitted(const core::ProgramKey& program, const std::string& key, const std::string& requestId,
        core::TimePoint firstSent)
    {
        this->awaiting.erase(key);
        const auto decision = this->calls.onIntentCommitted(program, key, firstSent, this->now);
        if (std::holds_alternative<state::SendCall>(decision)) {
            this->observed.sentByKey[key] += 1;
            this->observed.sentByRequest[requestId] += 1;
            this->sent[key] = program;
        } else {
            this->noteRefusal(requestId, std::get<state::RefuseCall>(decision).error);
        }
    }

    void noteRefusal(const std::string& requestId, const core::Error& error)
    {
        if (error.ran == core::RunState::NotRun) {
            this->observed.refusedNotRun.insert(requestId);
        }
    }

    void spendReserved(const core::ProgramKey& program, state::ReservationId reservation, std::uint64_t tokens)
    {
        this->observed.spent[state::rootOf(program).program] += tokens;
        this->budgets.settle(program, reservation, tokens);
        // The recorded use is what a clean hand-over passes on.
        this->observed.spends += 1;
        records::Entry entry = entryFor({ program.customer, program.program + "~spend" });
        entry.mutable_turn_finished()->set_turn(this->observed.spends);
        entry.mutable_turn_finished()->mutable_usage()->set_completion_tokens(tokens);
        (void)this->append(this->partitions.partitionOf(program), entry, [](core::TimePoint) {}, {});
    }

    void handle(state::CommitEffects effects)
    {
        for (auto& effect : effects) {
            if (const auto* committed = std::get_if<state::AppendCommitted>(&effect)) {
                auto done = this->tickets.extract(committed->id);
                const auto partition = done.mapped().entry.partition();
                if (this->stores.contains(partition)) {
                    this->stores.at(partition).apply(done.mapped().entry);
                }
                done.mapped().committed(committed->firstSent);
            } else if (const auto* rejected = std::get_if<state::AppendRejected>(&effect)) {
                auto done = this->tickets.extract(rejected->id);
                if (done.mapped().rejected) {
                    done.mapped().rejected(rejected->error);
                }
            } else if (const auto* lost = std::get_if<state::PartitionLost>(&effect)) {
                this->handle(this->ownership.onPartitionLost(lost->partition, lost->epoch));
            } else if (const auto* write = std::get_if<state::WriteTransaction>(&effect)) {
                this->submit(*write, true);
            } else if (const auto* object = std::get_if<state::WriteObject>(&effect)) {
                this->submit(*object, true);
            } else if (const auto* read = std::get_if<state::ReadRow>(&effect)) {
                this->submit(*read, true);
            }
        }
    }

    void handle(state::OwnershipEffects effects)
    {
        for (auto& effect : effects) {
            if (auto* recovered = std::get_if<state::PartitionRecovered>(&effect)) {
                this->handle(this->stream.setPartition(recovered->partition, recovered->epoch, recovered->version));
                this->handedOver[recovered->partition] = recovered->handedOver;
                this->stores[recovered->partition] = std::move(recovered->store);
            } else if (const auto* version = std::get_if<state::RowVersionChanged>(&effect)) {
                this->handle(this->stream.setPartition(version->partition, version->epoch, version->version));
            } else if (const auto* ended = std::get_if<state::OwnershipEnded>(&effect)) {
                this->dropState(ended->partition);
            } else if (const auto* due = std::get_if<state::SnapshotDue>(&effect)) {
                const auto image = this->stores.at(due->partition).snapshotEntries(due->partition, due->epoch);
                this->ownership.snapshot(due->partition, due->epoch, image, this->stream.nextSequence());
            } else if (const auto* deleted = std::get_if<state::LogDeleted>(&effect)) {
                for (const auto& key : this->stream.takeObjectsBefore(deleted->sequence)) {
                    this->store.table.objects.erase(key);
                }
            } else if (const auto* object = std::get_if<state::DeleteObject>(&effect)) {
                this->store.table.objects.erase(object->key);
            } else {
                std::visit([this](const auto& request) { this->submitIfRequest(request); }, effect);
            }
        }
    }

    void dropState(core::PartitionId partition)
    {
        this->handle(this->stream.dropPartition(partition));
        if (const auto found = this->stores.find(partition); found != this->stores.end()) {
            for (const auto& [program, state] : found->second.all()) {
                this->calls.removeProgram(program);
                this->budgets.close(program);
            }
            this->stores.erase(found);
        }
    }

    template <typename Effect> void submitIfRequest(const Effect& effect)
    {
        if constexpr (std::is_constructible_v<FakeStore::Request, Effect>) {
            this->submit(effect, false);
        }
    }

    void submit(const FakeStore::Request& request, bool forStream)
    {
        const auto operation = std::visit([](const auto& item) { return item.operation; }, request);
        const auto deliver = [this, operation, forStream, alive = this->alive](const FakeStore::Reply& reply) {
            if (*alive) {
                this->inbox.push_back(
                    [this, operation, forStream, reply] { this->onReply(operation, forStream, reply); });
            }
        };
        this->store.submit(request, deliver, this->now);
    }

    void onReply(state::OperationId operation, bool forStream, const FakeStore::Reply& reply)
    {
        if (const auto* result = std::get_if<0>(&reply)) {
            forStream ? this->handle(this->stream.onTransaction(operation, *result, this->now))
                      : this->handle(this->ownership.onTransaction(operation, *result, this->now));
        } else if (const auto* result = std::get_if<1>(&reply)) {
            forStream ? this->handle(this->stream.onObjectWritten(operation, *result, this->now))
                      : this->handle(this->ownership.onObjectWritten(operation, *result, this->now));
        } else if (const auto* result = std::get_if<2>(&reply)) {
            forStream ? this->handle(this->stream.onRow(operation, *result, this->now))
                      : this->handle(this->ownership.onRow(operation, *result, this->now));
        } else if (const auto* result = std::get_if<3>(&reply)) {
            this->handle(this->ownership.onRows(operation, *result, this->now));
        } else if (const auto* result = std::get_if<4>(&reply)) {
            this->handle(this->ownership.onObject(operation, *result, this->now));
        }
    }

    core::TimePoint now;
    std::map<state::AppendId, Continuation> tickets;
    std::map<std::string, std::pair<core::ProgramKey, std::string>> awaiting;
    std::map<std::string, core::ProgramKey> sent;
    std::set<core::ProgramKey> turnsPending;
    std::map<core::PartitionId, bool> handedOver;
};

} // namespace lagoontiller::tests
