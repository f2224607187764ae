#pragma once

#include "control/Call.h"
#include "document/Document.h"
#include "policy/Router.h"
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
    std::string cacheKey;
    std::string parentCacheKey;
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0;
    std::uint64_t requestBytes = 0;
    bool repeatable = true;
    std::vector<policy::EndpointId> excluded;
};

/// \brief Endpoints known to this node, and the choice among them.
class Dispatch {
public:
    Dispatch(std::string zone, std::string region, std::uint64_t seed);

    void setDocument(const std::shared_ptr<const document::Document>& document);
    /// \brief The document's endpoint VMs serve until the first VM list arrives.
    void setVmList(const vmlist::VmList& list);
    void setDeciders(std::size_t nodes);

    [[nodiscard]] core::Expected<Destination> choose(const DispatchRequest& request, core::TimePoint now);
    void sent(AttemptId attempt, const Destination& destination, const DispatchRequest& request, core::TimePoint now);
    void firstToken(AttemptId attempt, core::TimePoint now);
    void finished(AttemptId attempt, const engines::EngineUsage& usage, core::TimePoint now);
    void failed(AttemptId attempt, policy::FailureKind kind, core::TimePoint now);
    void released(const std::string& cacheKey);
    /// \brief `unixMs` is this node's wall clock; it turns the engine's sample time into an age.
    void onLoad(const std::string& address, const engines::EngineLoad& load, core::TimePoint now, std::int64_t unixMs);

    /// \brief Whether the endpoint still takes new work by the VM list.
    [[nodiscard]] bool takesWork(policy::EndpointId endpoint) const;
    /// \brief Whether the address is in the VM list, live or leaving.
    [[nodiscard]] bool isListed(const std::string& address) const { return this->listed.contains(address); }
    /// \brief Model endpoints that this node used since the last call of this function.
    [[nodiscard]] std::vector<std::string> takeRecentlyUsed();

private:
    void upsert(const std::string& address, const std::string& service, const std::string& zone,
        const std::string& region, policy::EndpointState state);
    void refresh();

    std::string zone;
    std::string region;
    policy::Random random;
    policy::Router router;
    std::shared_ptr<const document::Document> document;
    std::optional<vmlist::VmList> vms;
    std::map<std::string, policy::EndpointId> listed;
    std::vector<std::string> addresses;
    std::set<std::string> recentlyUsed;
};

} // namespace lagoontiller::control
