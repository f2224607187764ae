#pragma once

#include "control/Events.h"
#include "control/ModelCalls.h"
#include "control/ProgramLifecycle.h"
#include "control/RequestRouter.h"
#include "control/ServiceCalls.h"

namespace lagoontiller::control {

/// \brief All decisions of a node as one state machine: events in, effects out.
///
/// It reads no clock, opens no socket and starts no thread, so the server and the tests under virtual time run the same
/// code. Not thread-safe; the control thread owns it.
class Controller {
public:
    Controller(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now);

    /// \brief `unixMs` is the wall clock in milliseconds since the Unix epoch; it enters records only.
    [[nodiscard]] Effects handle(const Event& event, core::TimePoint now, std::int64_t unixMs);

    [[nodiscard]] const Context& state() const noexcept { return this->context; }

private:
    void on(const CallArrived& event, core::TimePoint now);
    void on(const GenerationStarted& event, core::TimePoint now);
    void on(const GenerationFinished& event, core::TimePoint now);
    void on(const GenerationFailed& event, core::TimePoint now);
    void on(const ServiceFinished& event, core::TimePoint now);
    void on(const CacheReleased& event, core::TimePoint now);
    void on(const ForwardAnswered& event, core::TimePoint now);
    void on(const ForwardFailed& event, core::TimePoint now);
    void on(const TransactionReplied& event, core::TimePoint now);
    void on(const ObjectWritten& event, core::TimePoint now);
    void on(const RowReplied& event, core::TimePoint now);
    void on(const RowsReplied& event, core::TimePoint now);
    void on(const ObjectReplied& event, core::TimePoint now);
    void on(const MembersChanged& event, core::TimePoint now);
    void on(const DocumentChanged& event, core::TimePoint now);
    void on(const VmListChanged& event, core::TimePoint now);
    void on(const LoadReported& event, core::TimePoint now);
    void on(const PoisonNoticeReceived& event, core::TimePoint now);
    void on(const OutcomeReported& event, core::TimePoint now);
    void on(const PartitionsHandedOver& event, core::TimePoint now);
    void on(const DrainRequested& event, core::TimePoint now);
    void on(const Tick& event, core::TimePoint now);

    void startOrForward(Call& call, core::TimePoint now);
    /// \brief Sends waiting calls for which there is an endpoint now, and refuses those that were given up.
    void dispatchWaiting(core::TimePoint now);
    /// \brief Whether the call has to wait until its partition has left this draining node.
    [[nodiscard]] bool waitsForHandOver(const Call& call) const;
    void startLocally(Call& call, core::TimePoint now);
    void handle(const DurableEvents& events, core::TimePoint now);
    void on(const RecordsSettled& settled, core::TimePoint now);
    void on(const PartitionServed& served, core::TimePoint now);
    void on(const PartitionDropped& dropped, core::TimePoint now);
    void retryAwaitingPartition(core::TimePoint now);
    void advanceHandOver(core::TimePoint now);
    void notifySuccessors();
    void pollLoads(core::TimePoint now);
    void publishMetrics();

    Context context;
    RequestRouter requestRouter;
    ModelCalls modelCalls;
    ServiceCalls serviceCalls;
    ProgramLifecycle programLifecycle;
    core::TimePoint nextLoadPoll {};
    core::TimePoint nextHandOverCheck {};
    /// \brief Partitions whose successors have not been told yet.
    std::map<std::string, std::vector<core::PartitionId>> unannouncedHandOvers;
    core::TimePoint drainStarted {};
    bool drainReported = false;
};

} // namespace lagoontiller::control
