#include "control/Controller.h"

#include "control/Overloaded.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::control {

namespace {

using core::ResultCode;

constexpr auto loadPollInterval = std::chrono::seconds(1);
constexpr auto handOverInterval = std::chrono::milliseconds(100);
constexpr auto longestHandOver = std::chrono::seconds(30);
constexpr auto partitionRetryDelay = std::chrono::milliseconds(200);

} // namespace

Controller::Controller(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now)
    : context(std::move(settings), metrics, now)
    , entry(this->context)
    , turns(this->context)
    , services(this->context)
    , programs(this->context)
{
}

Effects Controller::handle(const Event& event, core::TimePoint now, std::int64_t unixMs)
{
    this->context.unixMs = unixMs;
    this->context.ledger.onControlLoop(now);
    std::visit([&](const auto& each) { this->on(each, now); }, event);
    for (const auto& program : this->programs.takeEnded())
        this->turns.onProgramEnded(program, now);
    this->dispatchWaiting(now);
    return std::exchange(this->context.effects, {});
}

void Controller::dispatchWaiting(core::TimePoint now)
{
    for (const auto& assigned : this->context.dispatch.next(now)) {
        auto* call = this->context.calls.find(assigned.call);
        if (call == nullptr)
            this->context.dispatch.cancel(assigned.call, now);
        else if (call->model() != nullptr)
            this->turns.onAssigned(*call, assigned, now);
        else
            this->services.onAssigned(*call, assigned, now);
    }
    for (const auto& dropped : this->context.dispatch.takeDropped()) {
        auto* call = this->context.calls.find(dropped.call);
        if (call != nullptr && call->model() != nullptr)
            this->turns.onDropped(*call, dropped, now);
        else if (call != nullptr)
            this->services.onDropped(*call, dropped, now);
    }
}

void Controller::on(const CallArrived& event, core::TimePoint now)
{
    if (auto* call = this->entry.admit(event, now))
        this->place(*call, now);
}

void Controller::place(Call& call, core::TimePoint now)
{
    auto& durable = this->context.durable;
    if (durable.serves(call.partition) && !this->waitsForHandOver(call)) {
        this->startAtOwner(call, now);
        return;
    }
    if (durable.serves(call.partition) && !call.forwarded && now - call.arrived <= this->context.settings.ownerWait) {
        call.phase = CallPhase::AwaitsPartition;
        call.due = now + partitionRetryDelay;
        return;
    }
    if (durable.mayServeSoon(call.partition) && now - call.arrived <= this->context.settings.ownerWait) {
        durable.prioritise(call.partition);
        call.phase = CallPhase::AwaitsPartition;
        call.due = now + partitionRetryDelay;
        return;
    }
    if (call.forwarded) {
        this->context.refuse(
            call, { ResultCode::PartitionUnavailable, "this node does not own the program" }, shortRetryMs);
        return;
    }
    this->entry.forward(call, now);
}

bool Controller::waitsForHandOver(const Call& call) const
{
    // Without this, calls that overlap would keep a partition at a draining node for ever. Calls of a program that has
    // one under way go on, because that one may wait for them.
    const auto& context = this->context;
    if (!context.draining || !context.calls.hasCallsOf(call.partition))
        return false;
    const auto misplaced = context.durable.misplaced();
    const bool leaves = std::any_of(
        misplaced.begin(), misplaced.end(), [&](const auto& each) { return each.first == call.partition; });
    return leaves
        && context.calls
               .select([&](const Call& other) {
                   return other.id != call.id && other.program == call.program && other.phase != CallPhase::Forwarded
                       && other.phase != CallPhase::AwaitsPartition;
               })
               .empty();
}

void Controller::startAtOwner(Call& call, core::TimePoint now)
{
    std::visit(Overloaded {
                   [&](const callers::ModelCall&) { this->turns.start(call, now); },
                   [&](const callers::ServiceCall&) { this->services.start(call, now); },
                   [&](const callers::EndProgram&) { this->programs.end(call, now); },
                   [&](const callers::ShowProgram&) { this->programs.show(call); },
                   [&](const callers::FetchTurn&) { this->programs.fetchTurn(call); },
                   [&](const callers::FetchCall&) { this->services.fetch(call); },
                   [&](const auto&) {
                       this->context.refuse(call, { ResultCode::UnknownPath, "unknown path" });
                   },
               },
        call.operation);
}

void Controller::on(const GenerationStarted& event, core::TimePoint now)
{
    this->turns.onFirstToken(event.attempt, now);
}

void Controller::on(const GenerationFinished& event, core::TimePoint now)
{
    this->turns.onFinished(event, now);
}

void Controller::on(const GenerationFailed& event, core::TimePoint now)
{
    this->turns.onFailed(event, now);
}

void Controller::on(const ServiceFinished& event, core::TimePoint now)
{
    this->services.onFinished(event, now);
}

void Controller::on(const MemoryReleased& event, core::TimePoint now)
{
    this->programs.onMemoryReleased(event, now);
}

void Controller::on(const ForwardAnswered& event, core::TimePoint now)
{
    this->entry.onForwardAnswered(event, now);
}

void Controller::on(const ForwardFailed& event, core::TimePoint now)
{
    this->entry.onForwardFailed(event, now);
}

void Controller::on(const TransactionReplied& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onTransaction(event.user, event.operation, event.result, now, this->context.effects),
        now);
}

void Controller::on(const ObjectWritten& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onObjectWritten(event.user, event.operation, event.result, now, this->context.effects),
        now);
}

void Controller::on(const RowReplied& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onRow(event.user, event.operation, event.result, now, this->context.effects), now);
}

void Controller::on(const RowsReplied& event, core::TimePoint now)
{
    this->handle(this->context.durable.onRows(event.operation, event.result, now, this->context.effects), now);
}

void Controller::on(const ObjectReplied& event, core::TimePoint now)
{
    this->handle(this->context.durable.onObject(event.operation, event.result, now, this->context.effects), now);
}

void Controller::on(const MembersChanged& event, core::TimePoint now)
{
    this->context.members = event.members;
    std::vector<state::LiveNode> nodes;
    for (const auto& member : event.members)
        nodes.push_back({ member.node, member.region, member.leaving });
    this->context.durable.setNodes(nodes, now);
    this->context.dispatch.setDeciders(event.members.size());
}

void Controller::on(const DocumentChanged& event, core::TimePoint now)
{
    if (event.version <= this->context.documentVersion)
        return;
    this->context.document = event.document;
    this->context.documentVersion = event.version;
    this->context.dispatch.setDocument(event.document, now);
    core::logInfo("document_in_force").with("version", event.version);
}

void Controller::on(const VmListChanged& event, core::TimePoint now)
{
    this->context.dispatch.setVmList(event.list, now);
}

void Controller::on(const LoadReported& event, core::TimePoint now)
{
    this->context.dispatch.onLoad(event.endpoint, event.load, now, this->context.unixMs);
}

void Controller::on(const PoisonNoticed& event, core::TimePoint now)
{
    this->context.dispatch.merge(event.notice, now);
}

void Controller::on(const OutcomeReported& event, core::TimePoint now)
{
    this->services.onOutcomeReported(event.report, now);
}

void Controller::on(const PartitionsHandedOver&, core::TimePoint now)
{
    this->context.durable.onHandedOver(now);
}

void Controller::on(const DrainRequested&, core::TimePoint now)
{
    if (this->context.draining)
        return;
    this->drainStarted = now;
    this->context.draining = true;
    core::logInfo("drain_started").with("calls", this->context.calls.size());
}

void Controller::on(const Tick&, core::TimePoint now)
{
    this->handle(this->context.durable.tick(now, this->context.effects), now);
    this->turns.tick(now);
    this->services.tick(now);
    this->programs.tick(now);
    this->tickWaiting(now);
    this->tickHandOver(now);
    this->pollLoads(now);
}

void Controller::tickWaiting(core::TimePoint now)
{
    const auto due = this->context.calls.select(
        [&](const Call& call) { return call.phase == CallPhase::AwaitsPartition && call.due <= now; });
    for (const auto id : due) {
        if (auto* call = this->context.calls.find(id))
            this->place(*call, now);
    }
}

void Controller::tickHandOver(core::TimePoint now)
{
    if (now < this->nextHandOver)
        return;
    this->nextHandOver = now + handOverInterval;
    // A partition moves only while no call of it is under way, so that nothing is cut off.
    for (const auto& [partition, successor] : this->context.durable.misplaced()) {
        if (!this->context.calls.hasCallsOf(partition))
            this->context.durable.handOver(partition, successor);
    }
    this->announceHandOvers();
    // Without a node that stays, or while the store is down, nothing can be handed over. Once all records are durable,
    // leaving loses nothing: the partitions are then taken over as those of a dead node.
    const auto& members = this->context.members;
    const bool hasSuccessor = std::any_of(members.begin(), members.end(),
        [&](const Member& member) { return !member.leaving && member.node != this->context.settings.node; });
    const bool released = this->context.durable.served().empty() || !hasSuccessor
        || (this->context.draining && now - this->drainStarted > longestHandOver);
    const bool drained
        = this->context.draining && this->context.calls.size() == 0 && !this->context.durable.hasPending() && released;
    if (drained && !this->drainedReported) {
        this->drainedReported = true;
        this->context.effects.push_back(Drained {});
    }
}

void Controller::announceHandOvers()
{
    for (const auto& [node, partitions] : std::exchange(this->handedOver, {})) {
        SendToNode message { node, {} };
        for (const auto partition : partitions)
            message.envelope.mutable_handover()->add_partitions(partition);
        this->context.effects.push_back(std::move(message));
    }
}

void Controller::pollLoads(core::TimePoint now)
{
    if (now < this->nextLoadPoll)
        return;
    this->nextLoadPoll = now + loadPollInterval;
    this->context.dispatch.tick(now);
    for (auto& endpoint : this->context.dispatch.takeRecentlyUsed())
        this->context.effects.push_back(PollLoad { std::move(endpoint) });
    this->publishMetrics();
}

void Controller::publishMetrics()
{
    auto& metrics = this->context.metrics;
    metrics.set("lagoontiller_store_writes", {}, static_cast<double>(this->context.durable.storeWrites()));
    metrics.set("lagoontiller_store_reads", {}, static_cast<double>(this->context.durable.storeReads()));
    metrics.set("lagoontiller_store_available", {}, this->context.durable.storeAvailable() ? 1 : 0);
    metrics.set("lagoontiller_partitions_owned", {}, static_cast<double>(this->context.durable.served().size()));
    metrics.set("lagoontiller_members", {}, static_cast<double>(this->context.members.size()));
    metrics.set("lagoontiller_document_version", {}, static_cast<double>(this->context.documentVersion));
    metrics.set("lagoontiller_calls_in_flight", {}, static_cast<double>(this->context.calls.size()));
    metrics.set("lagoontiller_state_bytes", {}, static_cast<double>(this->context.durable.memoryBytes()));
    metrics.set("lagoontiller_releases_open", {}, static_cast<double>(this->programs.openReleases()));
}

void Controller::handle(const DurableEvents& events, core::TimePoint now)
{
    for (const auto& event : events)
        std::visit([&](const auto& each) { this->on(each, now); }, event);
}

void Controller::on(const RecordsSettled& settled, core::TimePoint now)
{
    const auto withCall = [&](CallId id, auto function) {
        if (auto* call = this->context.calls.find(id))
            function(*call);
    };
    std::visit(Overloaded {
                   [&](const StartRecorded& start) {
                       withCall(start.call, [&](Call& call) { this->turns.onStartRecorded(call, settled.error, now); });
                   },
                   [&](const TurnRecorded& turn) {
                       withCall(turn.call, [&](Call& call) { this->turns.onRecorded(call, settled.error, now); });
                   },
                   [&](const IntentRecorded& intent) {
                       withCall(intent.call, [&](Call& call) {
                           this->services.onIntentRecorded(call, settled.error, settled.firstSent, now);
                       });
                   },
                   [&](const ResultRecorded& result) {
                       withCall(result.call, [&](Call& call) { this->services.onRecorded(call, settled.error, now); });
                   },
                   [&](const EndRecorded& ended) { this->programs.onEndRecorded(ended, settled.error, now); },
                   [&](const CallAbandoned& call) { this->context.ledger.onRecorded(call.program, call.key); },
                   [&](const Unattended&) {},
               },
        settled.purpose);
}

void Controller::on(const PartitionServed& served, core::TimePoint now)
{
    core::logInfo("partition_served").with("partition", served.partition);
    this->programs.onPartitionServed(served.partition, now);
    const auto waiting = this->context.calls.select([&](const Call& call) {
        return call.partition == served.partition && call.phase == CallPhase::AwaitsPartition;
    });
    for (const auto id : waiting) {
        if (auto* call = this->context.calls.find(id))
            this->place(*call, now);
    }
}

void Controller::on(const PartitionDropped& dropped, core::TimePoint now)
{
    const core::Error changed(ResultCode::OwnerChanged, "the program has another owner now");
    const auto affected = this->context.calls.select([&](const Call& call) {
        return call.partition == dropped.partition && call.phase != CallPhase::Forwarded
            && call.phase != CallPhase::AwaitsPartition && call.phase != CallPhase::Joined;
    });
    for (const auto id : affected) {
        auto* call = this->context.calls.find(id);
        if (call == nullptr)
            continue;
        if (call->model() != nullptr)
            this->turns.onPartitionDropped(*call, now);
        else if (call->service() != nullptr)
            this->services.onPartitionDropped(*call, now);
        else
            this->context.refuse(*call, changed, shortRetryMs);
    }
    for (const auto& program : dropped.programs) {
        this->turns.handle(this->context.turns.removeProgram(program, changed), now);
        this->context.ledger.removeProgram(program);
        this->context.budgets.close(state::rootOf(program));
        this->context.dispatch.released(cacheKey(program));
    }
    this->programs.onPartitionDropped(dropped.programs);
    const auto successor = this->context.durable.ownerOf(dropped.partition);
    if (dropped.handedOver && !successor.empty())
        this->handedOver[successor].push_back(dropped.partition);
}

} // namespace lagoontiller::control
