#include "control/Controller.h"

#include "control/Overloaded.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::control {

namespace {

using core::ResultCode;

constexpr auto loadPollInterval = std::chrono::seconds(1);
constexpr auto handOverInterval = std::chrono::milliseconds(100);
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
    this->context.ledger.onLoop(now);
    std::visit([&](const auto& each) { this->on(each, now); }, event);
    return std::exchange(this->context.effects, {});
}

void Controller::on(const CallArrived& event, core::TimePoint now)
{
    if (auto* call = this->entry.admit(event, now))
        this->place(*call, now);
}

void Controller::place(Call& call, core::TimePoint now)
{
    auto& durable = this->context.durable;
    if (durable.serves(call.partition)) {
        this->startAtOwner(call, now);
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
    std::vector<state::LivingNode> nodes;
    for (const auto& member : event.members)
        nodes.push_back({ member.node, member.region, member.leaving });
    this->context.durable.setNodes(nodes, now);
    this->context.dispatch.setDeciders(event.members.size());
}

void Controller::on(const DocumentChanged& event, core::TimePoint)
{
    if (event.version <= this->context.documentVersion)
        return;
    this->context.document = event.document;
    this->context.documentVersion = event.version;
    this->context.dispatch.setDocument(event.document);
    core::logInfo("document_in_force").with("version", event.version);
}

void Controller::on(const VmListChanged& event, core::TimePoint)
{
    this->context.dispatch.setVmList(event.list);
}

void Controller::on(const LoadReported& event, core::TimePoint now)
{
    this->context.dispatch.onLoad(event.endpoint, event.load, now, this->context.unixMs);
}

void Controller::on(const OutcomeReported& event, core::TimePoint now)
{
    this->services.onOutcomeReported(event.report, now);
}

void Controller::on(const DrainRequested&, core::TimePoint)
{
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
    // Without a node that stays, nobody can take the partitions over; a later node takes them as those of a dead one.
    const auto& members = this->context.members;
    const bool hasSuccessor = std::any_of(members.begin(), members.end(),
        [&](const Member& member) { return !member.leaving && member.node != this->context.settings.node; });
    const bool released = !hasSuccessor || this->context.durable.served().empty();
    const bool drained
        = this->context.draining && this->context.calls.size() == 0 && !this->context.durable.hasPending() && released;
    if (drained && !this->drainedReported) {
        this->drainedReported = true;
        this->context.effects.push_back(Drained {});
    }
}

void Controller::pollLoads(core::TimePoint now)
{
    if (now < this->nextLoadPoll)
        return;
    this->nextLoadPoll = now + loadPollInterval;
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
            this->turns.onPartitionDropped(*call);
        else if (call->service() != nullptr)
            this->services.onPartitionDropped(*call);
        else
            this->context.refuse(*call, changed, shortRetryMs);
    }
    for (const auto& program : dropped.programs) {
        this->turns.handle(this->context.turns.forget(program, changed), now);
        this->context.ledger.forget(program);
        this->context.budgets.close(state::rootOf(program));
    }
    this->programs.onPartitionDropped(dropped.programs);
}

} // namespace lagoontiller::control
