#include "gateway/Gateway.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;
using transport::ProbeResult;

/// \brief Connections that were lost this long before a response ended were lost at the same moment: the closes of a
/// killed process reach a node within milliseconds.
constexpr core::Duration sameMoment = std::chrono::milliseconds(20);
/// \brief A connection between regions takes 24 ms (one-way delay 12 ms); the endpoint's kernel answers also when the
/// process is busy.
constexpr core::Duration probeConnectTimeout = std::chrono::milliseconds(60);
/// \brief Time in which a proxy in front of a process that is gone closes the connection that it accepted.
constexpr core::Duration probeOpenTime = std::chrono::milliseconds(30);

} // namespace

void Gateway::judgeClosedResponse(Flow& flow, std::optional<ProbeResult> probe, core::TimePoint now)
{
    const auto verdict = judgeCompleteness(this->collectEvidence(flow, probe));
    if (verdict.completeness == Completeness::CheckEndpoint) {
        this->probeEndpoint(flow);
        return;
    }
    core::logInfo("unframed_response_judged")
        .with("id", flow.call.id)
        .with("endpoint", flow.attempt->endpoint)
        .with("verdict", toString(verdict.completeness))
        .with("reason", verdict.reason)
        .with("after_ms", (now - *flow.attempt->closedAt).count() / 1'000);
    this->dependencies.metrics.add("gateway_unframed_responses_total",
        { { "verdict", std::string(toString(verdict.completeness)) }, { "reason", std::string(verdict.reason) } });
    if (verdict.completeness == Completeness::Complete) {
        this->handleResponseEnd(flow, now);
        return;
    }
    if (verdict.reason == noEndMarker)
        this->endMarkers[flow.service->name].observeMissing();
    this->attemptBroken(flow, ExchangeEnd::Closed, now);
}

ResponseEvidence Gateway::collectEvidence(const Flow& flow, std::optional<ProbeResult> probe) const
{
    const auto& attempt = *flow.attempt;
    ResponseEvidence evidence;
    evidence.end = ExchangeEnd::Closed;
    evidence.eventStream = attempt.response->eventStream;
    evidence.endsInsideEvent = attempt.eventParser.hasPartialEvent() || flow.hasBegunEvent;
    evidence.hasEvents = flow.eventCount > 0 || flow.events.last().has_value();
    const auto marker = this->endMarkers.find(flow.service->name);
    if (marker != this->endMarkers.end() && marker->second.isKnown())
        evidence.endsWithMarker = flow.lastEventData == marker->second.candidate();
    evidence.confirmsEarlierEnd = attempt.resumesStream && attempt.eventCount == 0;
    if (attempt.response->json && !attempt.response->eventStream)
        evidence.wholeJson = isWholeJson(attempt.body);
    const auto* const endpoint = this->dependencies.endpointDirectory.find(attempt.endpoint);
    evidence.endpointReplaced = endpoint != nullptr && endpoint->entry.startedAt != attempt.endpointStartedAt;
    evidence.endpointLeaving = endpoint != nullptr && (endpoint->entry.draining || endpoint->leaving);
    if (attempt.closedAtPeer) {
        evidence.others = attempt.closedAtPeer->others;
    } else {
        const auto& exchanges = this->dependencies.endpoints;
        evidence.others = exchanges.otherConnections(attempt.address, *attempt.closedAt - sameMoment);
        evidence.others.active = exchanges.otherConnections(attempt.address, *attempt.closedAt).active;
    }
    evidence.probe = probe;
    return evidence;
}

void Gateway::probeEndpoint(const Flow& flow)
{
    transport::probeAddress(this->dependencies.context, flow.attempt->address, { probeConnectTimeout, probeOpenTime },
        [this, id = flow.id, attempt = flow.attempts](ProbeResult result) {
            auto* const waiting = this->find(id);
            // The call may have ended meanwhile, or its attempt.
            if (waiting != nullptr && waiting->attempt && waiting->attempts == attempt)
                this->judgeClosedResponse(*waiting, result, core::monotonicNow());
        });
}

} // namespace lagoontiller::gateway
