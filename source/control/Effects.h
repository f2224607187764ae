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

/// \brief Local number of a caller's request on this node.
using CallId = std::uint64_t;
/// \brief Local number of one try of a call on an endpoint.
using AttemptId = std::uint64_t;

/// \brief Answers a call that is not a model call, or refuses any call.
struct AnswerWhole {
    CallId call = 0;
    int status = 200;
    http::Headers headers;
    std::string body;
};

/// \brief What a model answer looks like; known before the first token.
struct AnswerForm {
    std::string requestId;
    std::string model;
    std::string program;
    std::uint32_t turn = 0;
    std::int64_t createdUnixSeconds = 0;
};

/// \brief Prepares the streamed or whole answer of a model call; `call` names the answer from now on.
struct OpenAnswer {
    CallId call = 0;
    bool stream = false;
    AnswerForm form;
};

/// \brief Sends a running answer to another caller too: what exists at once, the rest as it comes.
struct JoinAnswer {
    CallId call = 0;
    CallId running = 0;
    bool stream = false;
};

/// \brief All text has been generated: streaming callers get the finish chunk.
struct FinishAnswer {
    CallId call = 0;
    std::string finishChunk;
};

/// \brief Ends an answer with its commit state. Whole callers get `body` now.
struct CloseAnswer {
    CallId call = 0;
    std::string commitState;
    std::string body;
};

/// \brief Ends an answer that cannot be completed.
struct RefuseAnswer {
    CallId call = 0;
    core::Error error;
    std::uint64_t retryAfterMs = 0;
};

/// \brief Starts a generation whose text goes into the answer of `call`.
struct Generate {
    AttemptId attempt = 0;
    CallId call = 0;
    engines::EngineRequest request;
    /// \brief Engine whose cache of the program is fetched first; empty for none.
    std::string cacheSource;
};

struct CancelGeneration {
    AttemptId attempt = 0;
    std::string endpoint;
    std::string requestId;
};

struct CallService {
    AttemptId attempt = 0;
    services::ServiceRequest request;
};

struct ReleaseMemory {
    core::ProgramKey program;
    std::string endpoint;
};

/// \brief Asks an engine for its load report.
struct PollLoad {
    std::string endpoint;
};

/// \brief Passes a caller's request on to another node.
struct ForwardCall {
    CallId call = 0;
    std::string node;
    callers::IncomingRequest request;
};

struct SendToNode {
    std::string node;
    nodes::wire::Envelope envelope;
};

/// \brief Tells all other nodes about a lost endpoint and what ran on it.
struct SpreadPoisonNotice {
    policy::PoisonNotice notice;
};

/// \brief The node has handed over all partitions and finished all calls.
struct Drained { };

/// \brief Store operation of the commit stream or of partition ownership; the reply goes back to the same part.
enum class StoreUser : int {
    Commit,
    Ownership,
};

struct StoreOperation {
    StoreUser user = StoreUser::Commit;
    std::variant<state::WriteTransaction, state::WriteObject, state::ReadRow, state::ScanRows, state::ReadObject,
        state::DeleteObject>
        operation;
};

using Effect = std::variant<AnswerWhole, OpenAnswer, JoinAnswer, FinishAnswer, CloseAnswer, RefuseAnswer, Generate,
    CancelGeneration, CallService, ReleaseMemory, PollLoad, ForwardCall, SendToNode, SpreadPoisonNotice, StoreOperation,
    Drained>;
using Effects = std::vector<Effect>;

} // namespace lagoontiller::control
