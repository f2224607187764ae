#pragma once

#include "callers/HttpServer.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "engines/EngineClient.h"
#include "policy/PoisonDetector.h"
#include "proto/nodes.pb.h"
#include "services/ServiceClient.h"
#include "state/StoreEffects.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::control {

/// \brief Identifies a caller's request within this process.
using CallId = std::uint64_t;
/// \brief Identifies one attempt of a call on an endpoint within this process.
using AttemptId = std::uint64_t;

/// \brief Sends a whole answer or a refusal to a caller whose answer is not open as an AnswerStream.
struct SendAnswer {
    CallId call = 0;
    int status = 200;
    http::Headers headers;
    std::string body;
};

/// \brief Properties of a model answer that are known before its first token.
struct AnswerMetadata {
    std::string requestId;
    std::string model;
    std::string program;
    std::uint32_t turn = 0;
    std::int64_t createdUnixSeconds = 0;
};

/// \brief Opens the AnswerStream of a model call and subscribes the caller. Later effects refer to it by `call`.
struct OpenAnswer {
    CallId call = 0;
    bool stream = false;
    AnswerMetadata metadata;
};

/// \brief Subscribes another caller to the open answer of `runningCall`, from its start.
struct JoinAnswer {
    CallId call = 0;
    CallId runningCall = 0;
    bool stream = false;
};

/// \brief Sends the finish chunk to streaming callers; all text has been generated.
struct FinishAnswer {
    CallId call = 0;
    std::string finishChunk;
};

/// \brief Completes the answer of one caller with its commit state. A caller that does not stream receives `body`.
struct CloseAnswer {
    CallId call = 0;
    std::string commitState;
    std::string body;
};

/// \brief Ends the open answer of one caller with an error.
struct RefuseAnswer {
    CallId call = 0;
    core::Error error;
    std::uint64_t retryAfterMs = 0;
};

/// \brief Starts a generation on an engine and appends its text to the answer of `call`.
struct StartGeneration {
    AttemptId attempt = 0;
    CallId call = 0;
    engines::EngineRequest request;
    /// \brief Engine from which the program's KV cache is copied first; empty for none.
    std::string cacheSource;
};

/// \brief Aborts the transfer of an attempt and tells the engine to stop it.
struct CancelGeneration {
    AttemptId attempt = 0;
    std::string endpoint;
    std::string requestId;
};

/// \brief Sends a call to a tool or plain service.
struct CallService {
    AttemptId attempt = 0;
    services::ServiceRequest request;
};

/// \brief Tells an engine to free its KV cache of a program.
struct ReleaseCache {
    core::ProgramKey program;
    std::string endpoint;
};

/// \brief Requests the load report of an engine.
struct PollLoad {
    std::string endpoint;
};

/// \brief Forwards a caller's request to another node.
struct ForwardCall {
    CallId call = 0;
    std::string node;
    callers::IncomingRequest request;
};

struct SendToNode {
    std::string node;
    nodes::wire::Envelope envelope;
};

/// \brief Tells all other nodes that an endpoint was lost, and the digests of the requests that ran on it.
struct BroadcastPoisonNotice {
    policy::PoisonNotice notice;
};

/// \brief The drain is complete: no calls or pending records are left, and the process may exit.
struct DrainFinished { };

/// \brief Component that requested a store operation and receives its reply.
enum class StoreClient : int {
    Commit,
    Ownership,
};

struct StoreOperation {
    StoreClient client = StoreClient::Commit;
    std::variant<state::WriteTransaction, state::WriteObject, state::ReadRow, state::ScanRows, state::ReadObject,
        state::DeleteObject>
        operation;
};

using Effect = std::variant<SendAnswer, OpenAnswer, JoinAnswer, FinishAnswer, CloseAnswer, RefuseAnswer,
    StartGeneration, CancelGeneration, CallService, ReleaseCache, PollLoad, ForwardCall, SendToNode,
    BroadcastPoisonNotice, StoreOperation, DrainFinished>;
using Effects = std::vector<Effect>;

} // namespace lagoontiller::control
