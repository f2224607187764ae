// The planned stop of a node, from SIGTERM to the end of the process.

#include "core/Log.h"
#include "core/SignalTime.h"
#include "gateway/Node.h"

namespace lagoontiller::gateway {

void Node::stop(int signal)
{
    if (this->stopSchedule)
        return;
    const auto now = core::monotonicNow();
    // The grace runs from the signal, which a busy event loop handles late.
    this->stopStartedAt = core::signalTime(signal).value_or(now);
    this->stopSchedule.emplace(this->stopStartedAt, this->settings->stopGrace);
    core::logInfo("node_stopping")
        .with("in_progress", this->gateway.callsInProgress())
        .with("noticed_after_ms", (now - this->stopStartedAt).count() / 1'000);
    this->updateReady();
    this->callerServer.startDraining();
    this->gateway.startDraining(*this->stopSchedule);
    this->peerService.announceStop(now);
    this->peerService.startDraining(*this->stopSchedule);
    this->exchangeRelayServer.startDraining(*this->stopSchedule);
}

void Node::continueStop(const StopSchedule& schedule, core::TimePoint now)
{
    const bool idle = this->gateway.callsInProgress() == 0;
    this->tokenBudgets.returnUnusedShares();
    if (!this->leaving) {
        if (!schedule.mayStopAccepting(idle, this->gateway.longestTimeout(), now))
            return;
        core::logInfo("node_leaving")
            .with("in_progress", this->gateway.callsInProgress())
            .with("after_ms", (now - this->stopStartedAt).count() / 1'000);
        this->leaving = true;
        // If the call is lost, the other nodes remove the row.
        this->nodeRegistry.deregister();
        this->callerServer.stopAccepting();
        this->peerServer.startDraining();
        return;
    }
    if (now > schedule.endsAt())
        this->gateway.endAll(now);
    // Connections with a request or unsent output stay open, so they are complete once none is left.
    this->callerServer.closeIdle();
    const bool owesResponse = this->callerServer.openConnections() > 0 || this->peerServer.busyConnections() > 0;
    if ((idle && !owesResponse) || now > schedule.endsAt() + tickInterval * 2)
        this->context.stop();
}

} // namespace lagoontiller::gateway
