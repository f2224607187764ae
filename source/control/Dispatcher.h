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

/// \brief What a call needs from an endpoint.
struct DispatchRequest {
    std::string service;
    /// \brief Empty for tool and plain services.
    std::string model;
    /// \brief Key of the program's prompts in engine caches.
    std::string cacheKey;
    std::string parentCacheKey;
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0;
    std::uint64_t requestBytes = 0;
    bool repeatable = true;
    bool programStarted = false;
    /// \brief 0 to 9; 9 is served first.
    int priority = 0;
    core::TimePoint deadline = core::TimePoint::max();
    /// \brief Digest of the content, by which a request that crashes its endpoints is recognised.
    std::string digest;
};

/// \brief A call that gets an endpoint now.
struct AssignedCall {
    CallId call = 0;
    AttemptId attempt = 0;
    Destination destination;
    core::Duration timeout {};
    core::Duration silenceTimeout {};
    /// \brief Endpoint whose cache of the program should be fetched first; empty for none.
    std::string cacheSource;
};

/// \brief Endpoints known to this node and the calls that wait for them or run on them.
///
/// Translates between the controller's names and the ids of policy::Scheduler, which takes all decisions.
class Dispatcher {
public:
    Dispatcher(std::string zone, std::string region, std::uint64_t seed);

    void setDocument(const std::shared_ptr<const document::Document>& document, core::TimePoint now);
    /// \brief The document's endpoint VMs serve until the first VM list arrives.
    void setVmList(const vmlist::VmList& list, core::TimePoint now);
    void setNodeCount(std::size_t nodes);

    /// \brief Admits a call, which then waits until `next` returns it, or refuses it "not run". Calls that gave up
    /// their place are added to the ones that `next` drops.
    [[nodiscard]] tl::expected<void, policy::Refusal> enqueue(
        const Call& call, const DispatchRequest& request, core::TimePoint now);
    /// \brief Calls to send now.
    [[nodiscard]] std::vector<AssignedCall> takeAssignments(core::TimePoint now);
    /// \brief Waiting calls that were given up since the last time; each is to be refused.
    [[nodiscard]] std::vector<policy::DroppedCall> takeDropped();
    /// \brief Forgets a call in whatever state it is. Its running attempt need not be reported.
    void cancel(CallId call, core::TimePoint now);

    void onFirstToken(AttemptId attempt, core::TimePoint now);
    void onFinished(AttemptId attempt, const engines::EngineUsage& usage, core::TimePoint now);
    [[nodiscard]] policy::AttemptOutcome onFailed(
        AttemptId attempt, policy::FailureKind kind, core::RunState ran, core::TimePoint now);
    void mergePoisonNotice(const policy::PoisonNotice& notice, core::TimePoint now);

    /// \brief The program waits for a tool. Returns the endpoint whose memory of it is not worth keeping, if any.
    [[nodiscard]] std::optional<std::string> onProgramPaused(
        const std::string& cacheKey, const std::string& tool, core::TimePoint now);
    void onProgramResumed(const std::string& cacheKey, core::TimePoint now);
    void onProgramReleased(const std::string& cacheKey);
    /// \brief `unixMs` is this node's wall clock; it turns the engine's sample time into an age.
    void onLoad(const std::string& address, const engines::EngineLoad& load, core::TimePoint now, std::int64_t unixMs);
    void tick(core::TimePoint now) { this->scheduler.tick(now); }

    /// \brief The endpoints of the VM list, or of the document before the first VM list arrived.
    [[nodiscard]] const std::map<std::string, policy::EndpointId>& endpoints() const noexcept
    {
        return this->endpointIds;
    }
    [[nodiscard]] bool hasVmList() const noexcept { return this->vms.has_value(); }
    /// \brief Whether the endpoint still takes new work by the VM list.
    [[nodiscard]] bool acceptsNewCalls(policy::EndpointId endpoint) const;
    /// \brief Whether the address is in the VM list, live or leaving.
    [[nodiscard]] bool isListed(const std::string& address) const { return this->endpointIds.contains(address); }
    /// \brief Model endpoints that this node used since the last call of this function.
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
    std::vector<std::string> addresses;
    std::vector<policy::DroppedCall> dropped;
    std::set<std::string> recentlyUsed;
};

} // namespace lagoontiller::control
