#pragma once

#include "callers/CallerOperation.h"
#include "control/Effects.h"
#include "document/Document.h"
#include "policy/Types.h"
#include "proto/records.pb.h"
#include "state/BudgetLedger.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::control {

enum class CallPhase : int {
    /// Waits for the program's partition to be recovered here.
    AwaitsPartition,
    /// Passed on to the node that owns the program.
    Forwarded,
    /// Waits for the turn before it.
    AwaitsTurn,
    /// Waits for a place on an endpoint.
    Queued,
    /// Has an endpoint; waits for records that must be durable before the call is sent.
    AwaitsRecords,
    Running,
    /// Gets the result of an equal call that is running.
    Joined,
    /// Answered by the endpoint; waits for the result to be durable.
    Recording,
};

/// \brief Words of the status page.
[[nodiscard]] std::string_view name(CallPhase phase) noexcept;

/// \brief Endpoint that a call goes to.
struct Destination {
    policy::EndpointId endpoint = 0;
    std::string address;
    double cachedTokens = 0;
};

/// \brief One caller's request while this node works on it.
struct Call {
    CallId id = 0;
    CallPhase phase = CallPhase::AwaitsPartition;
    core::TimePoint arrived {};
    /// \brief Meaning depends on the phase: end of a wait, or time of the next attempt.
    core::TimePoint due {};
    bool forwarded = false;
    callers::IncomingRequest request;
    callers::CallerOperation operation;
    std::string requestId;
    core::ProgramKey program;
    core::PartitionId partition = 0;
    /// \brief The document that the call started with; it stays in force for this call.
    std::shared_ptr<const document::Document> document;
    std::uint64_t documentVersion = 0;

    // Forwarding.
    std::set<std::string> triedNodes;

    // Work on an endpoint.
    std::uint32_t turn = 0;
    std::uint32_t turnAttempt = 0;
    state::ReservationId reservation = 0;
    AttemptId attempt = 0;
    int attemptCount = 0;
    std::string endpoint;
    /// \brief Endpoint whose cache of the program the current attempt fetches first; empty for none.
    std::string cacheSource;
    /// \brief Limits of the current attempt.
    core::Duration timeout {};
    core::Duration silenceTimeout {};
    std::string generatedText;
    bool answerOpen = false;
    Destination destination;
    /// \brief Bound and estimate of the prompt's length in tokens.
    std::uint64_t maxPromptTokens = 0;
    std::uint64_t estimatedPromptTokens = 0;
    /// \brief Budget total that becomes durable with the start records; 0 when no chunk is due.
    std::uint64_t budgetTotalTokens = 0;
    /// \brief The awaited records only name an endpoint; they do not hold up the call while the store is down.
    bool awaitsOnlyEndpointRecord = false;
    std::vector<records::Entry> startEntries;
    nlohmann::json outgoingBody;
    nlohmann::json addedMessages;
    /// \brief The caller sent another history than the stored one; the turn's messages take its place.
    bool replacesHistory = false;
    std::string callKey;
    /// \brief Intent of a call that may not be repeated; committed once it has an endpoint.
    std::optional<records::Entry> intent;
    /// \brief The partition was lost while the call was at an endpoint.
    bool partitionLost = false;
    bool repeatable = true;
    /// \brief An earlier attempt, here or at an owner that is gone, may have run: no refusal may say "not run".
    bool mayHaveRun = false;
    std::vector<CallId> joinedCalls;
    /// \brief Result that waits to be durable.
    services::ServiceAnswer serviceAnswer;
    std::string answerBody;

    [[nodiscard]] const callers::ModelCall* modelCall() const
    {
        return std::get_if<callers::ModelCall>(&this->operation);
    }
    [[nodiscard]] const callers::ServiceCall* serviceCall() const
    {
        return std::get_if<callers::ServiceCall>(&this->operation);
    }
};

/// \brief Calls under way on this node.
class CallTable {
public:
    Call& add(Call call);
    [[nodiscard]] Call* find(CallId id);
    [[nodiscard]] Call* findByAttempt(AttemptId attempt);
    /// \brief Names the attempt that belongs to the call from now on; an earlier attempt is forgotten.
    void setAttempt(Call& call, AttemptId attempt);
    void erase(CallId id);
    /// \brief Ids of the calls that satisfy the predicate.
    template <typename Predicate> [[nodiscard]] std::vector<CallId> select(Predicate predicate) const
    {
        std::vector<CallId> result;
        for (const auto& [id, call] : this->calls) {
            if (predicate(call))
                result.push_back(id);
        }
        return result;
    }
    [[nodiscard]] std::size_t size() const noexcept { return this->calls.size(); }
    /// \brief Calls of the partition that are not merely forwarded.
    [[nodiscard]] bool hasLocalCalls(core::PartitionId partition) const;

private:
    std::unordered_map<CallId, Call> calls;
    std::unordered_map<AttemptId, CallId> callByAttempt;
};

} // namespace lagoontiller::control
