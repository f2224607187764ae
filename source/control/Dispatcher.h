#pragma once

#include "control/Call.h"
#include "document/Document.h"
#include "policy/Scheduler.h"
#include "vmlist/VmList.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::control {

/// \brief Scheduling properties of a call.
struct DispatchRequest {
    std::string service;
    /// \brief Empty for calls of tool and plain services.
    std::string model;
    /// \brief Key of the program's prompts in engine caches; empty for calls of tool and plain services.
    std::string cacheKey;
    std::string parentCacheKey;
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0;
    std::uint64_t requestBytes = 0;
    bool repeatable = true;
    /// \brief The program has finished turns.
    bool programStarted = false;
    /// \brief 0 (lowest) to 9 (highest).
    int priority = 0;
    /// \brief When a call that is still queued is dropped; no retry starts after it.
    core::TimePoint deadline = core::TimePoint::max();
    /// \brief Digest of the request, which identifies a request that crashes its endpoints.
    std::string digest;
};

/// \brief A queued call that the scheduler has assigned to an endpoint.
struct AssignedCall {
    CallId call = 0;
    AttemptId attempt = 0;
    Destination destination;
    /// \brief Timeouts of the attempt: until the first byte, and between two parts of the answer.
    core::Duration timeout {};
    core::Duration silenceTimeout {};
    /// \brief Endpoint from which the program's KV cache should be copied first; empty for none.
    std::string cacheSource;
};

/// \brief Adapts policy::Scheduler, which takes all scheduling decisions, to the controller.
///
/// Translates between endpoint addresses and cache keys, which the controller uses, and the numeric ids and hashes of
/// the scheduler, and keeps the scheduler's customers and endpoints in line with the document and the VM list.
class Dispatcher {
public:
    Dispatcher(std::string zone, std::string region, std::uint64_t seed);

    void setDocument(const std::shared_ptr<const document::Document>& document, core::TimePoint now);
    /// \brief Replaces the endpoints. Until the first VM list arrives, the endpoint VMs of the document are used.
    void setVmList(const vmlist::VmList& list, core::TimePoint now);
    /// \brief Sets the number of nodes that send calls to the same endpoints, this one included.
    void setNodeCount(std::size_t nodes);

    /// \brief Queues a call until `takeAssignments` or `takeDropped` returns it. Error: the refusal of a call that is
    /// not admitted and has not run. Queued calls that are dropped in favour of this one are returned by `takeDropped`.
    [[nodiscard]] tl::expected<void, policy::Refusal> enqueue(
        const Call& call, const DispatchRequest& request, core::TimePoint now);
    /// \brief Calls that the scheduler has assigned to an endpoint; the caller must send or cancel each.
    [[nodiscard]] std::vector<AssignedCall> takeAssignments(core::TimePoint now);
    /// \brief Queued calls dropped since the previous call of this function; the caller must refuse each.
    [[nodiscard]] std::vector<policy::DroppedCall> takeDropped();
    /// \brief Removes a call in any state. The end of its running attempt need not be reported.
    void cancel(CallId call, core::TimePoint now);

    void onFirstToken(AttemptId attempt, core::TimePoint now);
    void onFinished(AttemptId attempt, const engines::EngineUsage& usage, core::TimePoint now);
    /// \brief Reports a failed attempt. Returns the time of the next attempt, if there is one, or else the error, and a
    /// notice for the other nodes if the request may have crashed its endpoint.
    [[nodiscard]] policy::AttemptOutcome onFailed(
        AttemptId attempt, policy::FailureKind kind, core::RunState ran, core::TimePoint now);
    void mergePoisonNotice(const policy::PoisonNotice& notice, core::TimePoint now);

    /// \brief The program waits for a tool. Returns the endpoint that should release its KV cache of the program
    /// meanwhile; none if the cache should be kept or there is none.
    [[nodiscard]] std::optional<std::string> onProgramPaused(
        const std::string& cacheKey, const std::string& tool, core::TimePoint now);
    void onProgramResumed(const std::string& cacheKey, core::TimePoint now);
    /// \brief Forgets the cached prompts of an ended program or of one that moved to another node.
    void onProgramReleased(const std::string& cacheKey);
    /// \brief Takes the load report of an endpoint; ignored for an unknown one. `unixMs` is the wall clock of this
    /// node, from which the age of the report is computed.
    void onLoad(const std::string& address, const engines::EngineLoad& load, core::TimePoint now, std::int64_t unixMs);
    void tick(core::TimePoint now) { this->scheduler.tick(now); }

    /// \brief Ids by address of the endpoints in the VM list, or in the document until the first VM list arrives.
    [[nodiscard]] const std::map<std::string, policy::EndpointId>& endpoints() const noexcept
    {
        return this->endpointIds;
    }
    [[nodiscard]] bool hasVmList() const noexcept { return this->vms.has_value(); }
    /// \brief Whether the endpoint is live in the VM list, that is, neither leaving nor gone.
    [[nodiscard]] bool acceptsNewCalls(policy::EndpointId endpoint) const;
    /// \brief Whether the address is in the VM list, either live or leaving.
    [[nodiscard]] bool isListed(const std::string& address) const { return this->endpointIds.contains(address); }
    /// \brief Addresses of model endpoints that were assigned calls since the previous call of this function.
    [[nodiscard]] std::vector<std::string> takeRecentlyUsed();
    [[nodiscard]] const policy::Scheduler& schedulerState() const noexcept { return this->scheduler; }

private:
    void upsertEndpoint(const std::string& address, const std::string& service, const std::string& zone,
        const std::string& region, policy::EndpointState state, core::TimePoint now);
    void refreshEndpoints(core::TimePoint now);
    void setCustomers(const document::Document* previous);
    [[nodiscard]] policy::RouteRequest routeFor(const DispatchRequest& request) const;

    std::string zone;
    std::string region;
    policy::Scheduler scheduler;
    std::shared_ptr<const document::Document> document;
    std::optional<vmlist::VmList> vms;
    std::map<std::string, policy::EndpointId> endpointIds;
    /// \brief Addresses of all endpoints ever known, indexed by endpoint id.
    std::vector<std::string> addresses;
    std::vector<policy::DroppedCall> dropped;
    std::set<std::string> recentlyUsed;
};

} // namespace lagoontiller::control
