#pragma once

#include "control/Effects.h"
#include "document/Document.h"
#include "vmlist/VmList.h"

#include <memory>

namespace lagoontiller::control {

struct CallArrived {
    CallId call = 0;
    callers::IncomingRequest request;
    /// \brief True when another node passed it on; it is then not passed on again.
    bool forwarded = false;
};

/// \brief First token of an attempt.
struct GenerationStarted {
    AttemptId attempt = 0;
};

struct GenerationFinished {
    AttemptId attempt = 0;
    /// \brief The whole text over all attempts of the call.
    std::string text;
    engines::EngineFinished result;
};

struct GenerationFailed {
    AttemptId attempt = 0;
    /// \brief The text over all attempts so far.
    std::string text;
    engines::EngineFailed failure;
};

struct ServiceFinished {
    AttemptId attempt = 0;
    core::Expected<services::ServiceAnswer> answer;
};

struct CacheReleased {
    core::ProgramKey program;
    std::string endpoint;
    bool confirmed = false;
};

/// \brief Head of the answer of a forwarded call. `code` is the result code header; 0 when the owner answered.
struct ForwardAnswered {
    CallId call = 0;
    int code = 0;
};

/// \brief The peer is gone before it answered; `sent` is false when the request certainly has not left.
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

/// \brief A member of the deployment as this node sees it.
struct Member {
    std::string node;
    std::string callerAddress;
    std::string zone;
    std::string region;
    bool leaving = false;
    [[nodiscard]] bool operator==(const Member&) const = default;
};

/// \brief Living members, this node included.
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

struct PoisonNoticeReceived {
    policy::PoisonNotice notice;
};

struct OutcomeReported {
    nodes::wire::OutcomeReport report;
};

/// \brief Another node handed partitions over to this one in the table.
struct PartitionsHandedOver { };

struct DrainRequested { };

struct Tick { };

using Event = std::variant<CallArrived, GenerationStarted, GenerationFinished, GenerationFailed, ServiceFinished,
    CacheReleased, ForwardAnswered, ForwardFailed, TransactionReplied, ObjectWritten, RowReplied, RowsReplied,
    ObjectReplied, MembersChanged, DocumentChanged, VmListChanged, LoadReported, PoisonNoticeReceived, OutcomeReported,
    PartitionsHandedOver, DrainRequested, Tick>;

} // namespace lagoontiller::control
