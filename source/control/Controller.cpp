#include "control/Controller.h"

#include "control/Overloaded.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::control {

namespace {

using core::ResultCode;

constexpr auto loadPollInterval = std::chrono::seconds(1);
constexpr auto handOverCheckInterval = std::chrono::milliseconds(100);
constexpr auto handOverTimeout = std::chrono::seconds(30);
constexpr auto partitionRetryDelay = std::chrono::milliseconds(200);

} // namespace

Controller::Controller(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now)
    : context(std::move(settings), metrics, now)
    , requestRouter(this->context)
    , modelCalls(this->context)
    , serviceCalls(this->context)
    , programLifecycle(this->context)
{
}

Effects Controller::handle(const Event& event, core::TimePoint now, std::int64_t unixMs)
{
    this->context.unixMs = unixMs;
    this->context.callLedger.onControlLoop(now);
    std::visit([&](const auto& each) { this->on(each, now); }, event);
    for (const auto& program : this->programLifecycle.takeEnded())
        this->modelCalls.onProgramEnded(program, now);
    this->dispatchWaiting(now);
    return std::exchange(this->context.effects, {});
}

void Controller::dispatchWaiting(core::TimePoint now)
{
    for (const auto& assigned : this->context.dispatcher.takeAssignments(now)) {
        auto* call = this->context.calls.find(assigned.call);
        if (call == nullptr)
            this->context.dispatcher.cancel(assigned.call, now);
        else if (call->modelCall() != nullptr)
            this->modelCalls.onAssigned(*call, assigned, now);
        else
            this->serviceCalls.onAssigned(*call, assigned, now);
    }
    for (const auto& dropped : this->context.dispatcher.takeDropped()) {
        auto* call = this->context.calls.find(dropped.call);
        if (call != nullptr && call->modelCall() != nullptr)
            this->modelCalls.onDropped(*call, dropped, now);
        else if (call != nullptr)
            this->serviceCalls.onDropped(*call, dropped, now);
    }
}

void Controller::on(const CallArrived& event, core::TimePoint now)
{
    if (auto* call = this->requestRouter.admit(event, now))
        this->startOrForward(*call, now);
}

void Controller::startOrForward(Call& call, core::TimePoint now)
{
    auto& durable = this->context.durable;
    if (durable.serves(call.partition) && !this->waitsForHandOver(call)) {
        this->startLocally(call, now);
        return;
    }
    if (durable.serves(call.partition) && !call.forwarded
        && now - call.arrived <= this->context.settings.ownerTimeout) {
        call.phase = CallPhase::AwaitsPartition;
        call.due = now + partitionRetryDelay;
        return;
    }
    if (durable.isAcquiring(call.partition) && now - call.arrived <= this->context.settings.ownerTimeout) {
        durable.prioritise(call.partition);
        call.phase = CallPhase::AwaitsPartition;
        call.due = now + partitionRetryDelay;
        return;
    }
    if (call.forwarded) {
        this->context.refuse(
            call, { ResultCode::PartitionUnavailable, "this node does not own the program" }, shortRetryAfterMs);
        return;
    }
    this->requestRouter.forward(call, now);
}

bool Controller::waitsForHandOver(const Call& call) const
{
    // Overlapping calls would otherwise keep the partition on the draining node forever. A call of a program that
    // already has a call in progress is not delayed, because that call may depend on it.
    const auto& context = this->context;
    if (!context.draining || !context.calls.hasLocalCalls(call.partition))
        return false;
    const auto misplaced = context.durable.misplaced();
    const bool willBeHandedOver = std::any_of(
        misplaced.begin(), misplaced.end(), [&](const auto& each) { return each.first == call.partition; });
    return willBeHandedOver
        && context.calls
               .select([&](const Call& other) {
                   return other.id != call.id && other.program == call.program && other.phase != CallPhase::Forwarded
                       && other.phase != CallPhase::AwaitsPartition;
               })
               .empty();
}

void Controller::startLocally(Call& call, core::TimePoint now)
{
    std::visit(Overloaded {
                   [&](const callers::ModelCall&) { this->modelCalls.start(call, now); },
                   [&](const callers::ServiceCall&) { this->serviceCalls.start(call, now); },
                   [&](const callers::EndProgram&) { this->programLifecycle.endProgram(call, now); },
                   [&](const callers::ShowProgram&) { this->programLifecycle.showStatus(call); },
                   [&](const callers::FetchTurn&) { this->programLifecycle.fetchTurn(call); },
                   [&](const callers::FetchCall&) { this->serviceCalls.fetchResult(call); },
                   [&](const auto&) {
                       this->context.refuse(call, { ResultCode::UnknownPath, "unknown path" });
                   },
               },
        call.operation);
}

void Controller::on(const GenerationStarted& event, core::TimePoint now)
{
    this->modelCalls.onFirstToken(event.attempt, now);
}

void Controller::on(const GenerationFinished& event, core::TimePoint now)
{
    this->modelCalls.onFinished(event, now);
}

void Controller::on(const GenerationFailed& event, core::TimePoint now)
{
    this->modelCalls.onFailed(event, now);
}

void Controller::on(const ServiceFinished& event, core::TimePoint now)
{
    this->serviceCalls.onFinished(event, now);
}

void Controller::on(const CacheReleased& event, core::TimePoint now)
{
    this->programLifecycle.onCacheReleased(event, now);
}

void Controller::on(const ForwardAnswered& event, core::TimePoint now)
{
    this->requestRouter.onForwardAnswered(event, now);
}

void Controller::on(const ForwardFailed& event, core::TimePoint now)
{
    this->requestRouter.onForwardFailed(event, now);
}

void Controller::on(const TransactionReplied& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onTransaction(event.client, event.operation, event.result, now, this->context.effects),
        now);
}

void Controller::on(const ObjectWritten& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onObjectWritten(event.client, event.operation, event.result, now, this->context.effects),
        now);
}

void Controller::on(const RowReplied& event, core::TimePoint now)
{
    this->handle(
        this->context.durable.onRow(event.client, event.operation, event.result, now, this->context.effects), now);
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
    this->context.dispatcher.setNodeCount(event.members.size());
}

void Controller::on(const DocumentChanged& event, core::TimePoint now)
{
    if (event.version <= this->context.documentVersion)
        return;
    this->context.document = event.document;
    this->context.documentVersion = event.version;
    this->context.dispatcher.setDocument(event.document, now);
    core::logInfo("document_in_force").with("version", event.version);
}

void Controller::on(const VmListChanged& event, core::TimePoint now)
{
    this->context.dispatcher.setVmList(event.list, now);
}

void Controller::on(const LoadReported& event, core::TimePoint now)
{
    this->context.dispatcher.onLoad(event.endpoint, event.load, now, this->context.unixMs);
}

void Controller::on(const PoisonNoticeReceived& event, core::TimePoint now)
{
    this->context.dispatcher.mergePoisonNotice(event.notice, now);
}

void Controller::on(const OutcomeReported& event, core::TimePoint now)
{
    this->serviceCalls.onOutcomeReported(event.report, now);
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
    this->modelCalls.tick(now);
    this->serviceCalls.tick(now);
    this->programLifecycle.tick(now);
    this->retryAwaitingPartition(now);
    this->advanceHandOver(now);
    this->pollLoads(now);
}

void Controller::retryAwaitingPartition(core::TimePoint now)
{
    const auto due = this->context.calls.select(
        [&](const Call& call) { return call.phase == CallPhase::AwaitsPartition && call.due <= now; });
    for (const auto id : due) {
        if (auto* call = this->context.calls.find(id))
            this->startOrForward(*call, now);
    }
}

void Controller::advanceHandOver(core::TimePoint now)
{
    if (now < this->nextHandOverCheck)
        return;
    this->nextHandOverCheck = now + handOverCheckInterval;
    // A partition is handed over only while none of its calls is in progress, so that no call is interrupted.
    for (const auto& [partition, successor] : this->context.durable.misplaced()) {
        if (!this->context.calls.hasLocalCalls(partition))
            this->context.durable.handOver(partition, successor);
    }
    this->notifySuccessors();
    // Partitions cannot be handed over without a remaining node or while the store is unavailable. The node may exit
    // nevertheless once all records are durable: the other nodes then take the partitions over as after a crash, and no
    // data is lost.
    const auto& members = this->context.members;
    const bool hasSuccessor = std::any_of(members.begin(), members.end(),
        [&](const Member& member) { return !member.leaving && member.node != this->context.settings.node; });
    const bool released = this->context.durable.servedPartitions().empty() || !hasSuccessor
        || (this->context.draining && now - this->drainStarted > handOverTimeout);
    const bool drained
        = this->context.draining && this->context.calls.size() == 0 && !this->context.durable.hasPending() && released;
    if (drained && !this->drainReported) {
        this->drainReported = true;
        this->context.effects.push_back(DrainFinished {});
    }
}

void Controller::notifySuccessors()
{
    for (const auto& [node, partitions] : std::exchange(this->unannouncedHandOvers, {})) {
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
    this->context.dispatcher.tick(now);
    for (auto& endpoint : this->context.dispatcher.takeRecentlyUsed())
        this->context.effects.push_back(PollLoad { std::move(endpoint) });
    this->publishMetrics();
}

void Controller::publishMetrics()
{
    auto& metrics = this->context.metrics;
    metrics.set("lagoontiller_store_writes", {}, static_cast<double>(this->context.durable.storeWrites()));
    metrics.set("lagoontiller_store_reads", {}, static_cast<double>(this->context.durable.storeReads()));
    metrics.set("lagoontiller_store_available", {}, this->context.durable.storeAvailable() ? 1 : 0);
    metrics.set(
        "lagoontiller_partitions_owned", {}, static_cast<double>(this->context.durable.servedPartitions().size()));
    metrics.set("lagoontiller_members", {}, static_cast<double>(this->context.members.size()));
    metrics.set("lagoontiller_document_version", {}, static_cast<double>(this->context.documentVersion));
    metrics.set("lagoontiller_calls_in_flight", {}, static_cast<double>(this->context.calls.size()));
    metrics.set("lagoontiller_state_bytes", {}, static_cast<double>(this->context.durable.memoryBytes()));
    metrics.set("lagoontiller_releases_open", {}, static_cast<double>(this->programLifecycle.openReleases()));
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
    std::visit(
        Overloaded {
            [&](const StartRecorded& start) {
                withCall(start.call, [&](Call& call) { this->modelCalls.onStartRecorded(call, settled.error, now); });
            },
            [&](const TurnRecorded& turn) {
                withCall(turn.call, [&](Call& call) { this->modelCalls.onTurnRecorded(call, settled.error, now); });
            },
            [&](const IntentRecorded& intent) {
                withCall(intent.call, [&](Call& call) {
                    this->serviceCalls.onIntentRecorded(call, settled.error, settled.firstSent, now);
                });
            },
            [&](const ResultRecorded& result) {
                withCall(
                    result.call, [&](Call& call) { this->serviceCalls.onResultRecorded(call, settled.error, now); });
            },
            [&](const EndRecorded& ended) { this->programLifecycle.onEndRecorded(ended, settled.error, now); },
            [&](const AbandonRecorded& call) { this->context.callLedger.onRecorded(call.program, call.key); },
            [&](const NoContinuation&) {},
        },
        settled.continuation);
}

void Controller::on(const PartitionServed& served, core::TimePoint now)
{
    core::logInfo("partition_served").with("partition", served.partition);
    this->programLifecycle.onPartitionServed(served.partition, now);
    const auto waiting = this->context.calls.select([&](const Call& call) {
        return call.partition == served.partition && call.phase == CallPhase::AwaitsPartition;
    });
    for (const auto id : waiting) {
        if (auto* call = this->context.calls.find(id))
            this->startOrForward(*call, now);
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
        if (call->modelCall() != nullptr)
            this->modelCalls.onPartitionDropped(*call, now);
        else if (call->serviceCall() != nullptr)
            this->serviceCalls.onPartitionDropped(*call, now);
        else
            this->context.refuse(*call, changed, shortRetryAfterMs);
    }
    for (const auto& program : dropped.programs) {
        this->modelCalls.onTurnEvents(this->context.turnOrder.removeProgram(program, changed), now);
        this->context.callLedger.removeProgram(program);
        this->context.budgetLedger.close(state::rootOf(program));
        this->context.dispatcher.onProgramReleased(cacheKey(program));
    }
    this->programLifecycle.onPartitionDropped(dropped.programs);
    const auto successor = this->context.durable.ownerOf(dropped.partition);
    if (dropped.handedOver && !successor.empty())
        this->unannouncedHandOvers[successor].push_back(dropped.partition);
}

} // namespace lagoontiller::control
