#pragma once

#include "control/Events.h"
#include "control/ModelCalls.h"
#include "control/ProgramLifecycle.h"
#include "control/RequestRouter.h"
#include "control/ServiceCalls.h"

namespace lagoontiller::control {

/// \brief State machine that takes all decisions of a node: it receives events and returns effects.
///
/// It reads no clock, opens no socket and starts no thread, so that tests can run it under virtual time. Not
/// thread-safe; the control thread owns it.
class Controller {
public:
    Controller(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now);

    /// \brief Handles one event and returns the effects to perform, in order.
    ///
    /// `now` is the monotonic clock. `unixMs` is the wall clock in milliseconds since the Unix epoch, used as
    /// described at `Context::unixMs`.
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

    /// \brief Starts the call if this node serves its partition, waits if it soon will, and forwards the call
    /// otherwise.
    void startOrForward(Call& call, core::TimePoint now);
    /// \brief Sends the queued calls that the scheduler has assigned, and refuses those that it has dropped.
    void dispatchWaiting(core::TimePoint now);
    /// \brief Whether the call must wait until this draining node has handed its partition over.
    [[nodiscard]] bool waitsForHandOver(const Call& call) const;
    /// \brief Starts a call whose partition this node serves.
    void startLocally(Call& call, core::TimePoint now);
    void handle(const DurableEvents& events, core::TimePoint now);
    void on(const RecordsSettled& settled, core::TimePoint now);
    void on(const PartitionServed& served, core::TimePoint now);
    void on(const PartitionDropped& dropped, core::TimePoint now);
    void retryAwaitingPartition(core::TimePoint now);
    /// \brief Hands over idle partitions that another node should own, and reports the end of a drain.
    void advanceHandOver(core::TimePoint now);
    /// \brief Tells the new owners of handed-over partitions to read the ownership rows again.
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
    /// \brief Handed-over partitions by new owner, which has not been notified yet.
    std::map<std::string, std::vector<core::PartitionId>> unannouncedHandOvers;
    core::TimePoint drainStarted {};
    bool drainReported = false;
};

} // namespace lagoontiller::control
