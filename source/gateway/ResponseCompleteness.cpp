#include "gateway/ResponseCompleteness.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lagoontiller::gateway {

namespace {

using transport::ProbeResult;

/// \brief Verdict from the body alone; `CheckEndpoint` if it doesn't tell.
CompletenessVerdict judgeBody(const ResponseEvidence& evidence) noexcept
{
    constexpr CompletenessVerdict unclear { Completeness::CheckEndpoint, "" };
    if (!evidence.eventStream) {
        if (!evidence.wholeJson)
            return unclear;
        return *evidence.wholeJson ? CompletenessVerdict { Completeness::Complete, "whole_json" }
                                   : CompletenessVerdict { Completeness::Truncated, "incomplete_json" };
    }
    if (evidence.endsInsideEvent)
        return { Completeness::Truncated, "inside_event" };
    if (evidence.order != EventOrder::InOrder)
        return { Completeness::Truncated, "event_order" };
    if (evidence.confirmsEarlierEnd)
        return unclear;
    if (!evidence.hasEvents)
        return { Completeness::Truncated, "no_event" };
    if (!evidence.endsWithMarker)
        return unclear;
    return *evidence.endsWithMarker ? CompletenessVerdict { Completeness::Complete, "end_marker" }
                                    : CompletenessVerdict { Completeness::Truncated, noEndMarker };
}

/// \brief Verdict from what is known of the endpoint's process.
CompletenessVerdict judgeEndpoint(const ResponseEvidence& evidence) noexcept
{
    if (evidence.endpointReplaced)
        return { Completeness::Truncated, "endpoint_replaced" };
    if (evidence.others.lost > 0 && evidence.others.open == 0)
        return { Completeness::Truncated, "connections_lost" };
    if (!evidence.probe)
        return { Completeness::CheckEndpoint, "" };
    switch (*evidence.probe) {
    case ProbeResult::Accepted:
        return { Completeness::Complete, "endpoint_accepts" };
    case ProbeResult::Refused:
        // An endpoint that is shutting down may refuse connections while it ends its responses.
        if (evidence.endpointLeaving && evidence.others.active > 0)
            return { Completeness::Complete, "endpoint_sends" };
        return { Completeness::Truncated, "endpoint_refuses" };
    case ProbeResult::Unanswered:
        break;
    }
    return { Completeness::Complete, "no_evidence" };
}

} // namespace

void EndMarker::observe(std::string_view lastData)
{
    if (lastData == this->data && !lastData.empty()) {
        this->balance = std::min(this->balance + 1, maxBalance);
        return;
    }
    if (this->balance > 0) {
        --this->balance;
        return;
    }
    this->data = lastData.size() <= maxBytes ? lastData : std::string_view();
    this->balance = this->data.empty() ? 0 : 1;
}

void EndMarker::observeInside() noexcept
{
    this->data.clear();
    this->balance = 0;
}

void EndMarker::observeMissing() noexcept
{
    this->balance = std::max(this->balance - 1, 0);
}

std::string_view toString(Completeness completeness) noexcept
{
    switch (completeness) {
    case Completeness::Complete:
        return "complete";
    case Completeness::Truncated:
        return "truncated";
    case Completeness::CheckEndpoint:
        return "check_endpoint";
    }
    return "unknown";
}

CompletenessVerdict judgeCompleteness(const ResponseEvidence& evidence) noexcept
{
    if (evidence.end == transport::ExchangeEnd::Complete)
        return { Completeness::Complete, "framed" };
    if (evidence.end != transport::ExchangeEnd::Closed)
        return { Completeness::Truncated, "connection_broken" };
    const auto body = judgeBody(evidence);
    return body.completeness == Completeness::CheckEndpoint ? judgeEndpoint(evidence) : body;
}

std::optional<bool> isWholeJson(std::string_view body)
{
    if (!nlohmann::json::accept(body))
        return false;
    const auto first = body.find_first_not_of(" \t\r\n");
    const bool isNumber = body[first] == '-' || (body[first] >= '0' && body[first] <= '9');
    return isNumber ? std::nullopt : std::optional(true);
}

} // namespace lagoontiller::gateway
