#pragma once

#include "control/Effects.h"
#include "document/Document.h"
#include "vmlist/VmList.h"

#include <memory>

namespace lagoontiller::control {

struct CallArrived {
    CallId call = 0;
    callers::IncomingRequest request;
    /// \brief Another node forwarded the request. It is not forwarded a second time.
    bool forwarded = false;
};

/// \brief The engine returned the first text of an attempt.
struct GenerationStarted {
    AttemptId attempt = 0;
};

struct GenerationFinished {
    AttemptId attempt = 0;
    /// \brief Complete text over all attempts of the call.
    std::string text;
    engines::EngineFinished result;
};

struct GenerationFailed {
    AttemptId attempt = 0;
    /// \brief Text generated so far over all attempts of the call.
    std::string text;
    engines::EngineFailed failure;
};

struct ServiceFinished {
    AttemptId attempt = 0;
    core::Expected<services::ServiceResponse> answer;
};

/// \brief Result of ReleaseCache. `confirmed` is false if the engine did not acknowledge the release.
struct CacheReleased {
    core::ProgramKey program;
    std::string endpoint;
    bool confirmed = false;
};

/// \brief The head of the answer to a forwarded call arrived. `code` is the value of its result code header; 0 if it
/// has none, that is, if the owner did not refuse the call.
struct ForwardAnswered {
    CallId call = 0;
    int code = 0;
};

/// \brief The peer was lost before it answered. `sent` is false if the request certainly was not sent.
struct ForwardFailed {
    CallId call = 0;
    bool sent = true;
};

struct TransactionReplied {
    StoreClient client = StoreClient::Commit;
    state::OperationId operation = 0;
    state::TransactionResult result;
};

struct ObjectWritten {
    StoreClient client = StoreClient::Commit;
    state::OperationId operation = 0;
    state::WriteResult result;
};

struct RowReplied {
    StoreClient client = StoreClient::Commit;
    state::OperationId operation = 0;
    state::RowResult result;
};

struct RowsReplied {
    state::OperationId operation = 0;
    state::RowsResult result;
};

struct ObjectReplied {
    state::OperationId operation = 0;
    state::ObjectResult result;
};

/// \brief A member of the deployment in this node's view of the membership.
struct Member {
    std::string node;
    std::string callerAddress;
    std::string zone;
    std::string region;
    bool leaving = false;
    [[nodiscard]] bool operator==(const Member&) const = default;
};

/// \brief The set of living members, which includes this node, has changed.
struct MembersChanged {
    std::vector<Member> members;
};

struct DocumentChanged {
    std::uint64_t version = 0;
    std::shared_ptr<const document::Document> document;
};

struct VmListChanged {
    vmlist::VmList list;
};

struct LoadReported {
    std::string endpoint;
    engines::EngineLoad load;
};

/// \brief Another node reported a lost endpoint and the digests of the requests that ran on it.
struct PoisonNoticeReceived {
    policy::PoisonNotice notice;
};

/// \brief Another node reports the result of a service call whose partition it lost while the call was running.
struct OutcomeReported {
    nodes::wire::OutcomeReport report;
};

/// \brief Another node has handed partitions over to this one by changing their ownership rows.
struct PartitionsHandedOver { };

struct DrainRequested { };

struct Tick { };

using Event = std::variant<CallArrived, GenerationStarted, GenerationFinished, GenerationFailed, ServiceFinished,
    CacheReleased, ForwardAnswered, ForwardFailed, TransactionReplied, ObjectWritten, RowReplied, RowsReplied,
    ObjectReplied, MembersChanged, DocumentChanged, VmListChanged, LoadReported, PoisonNoticeReceived, OutcomeReported,
    PartitionsHandedOver, DrainRequested, Tick>;

} // namespace lagoontiller::control
