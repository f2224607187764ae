#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace lagoontiller::core {

/// \brief Whether an endpoint executed the request that the error response answers.
enum class RunState : int {
    NotRun,
    MayHaveRun,
    Ran,
};

/// \brief Result codes. docs/result-codes.md describes what the caller or operator does about each code.
enum class ResultCode : int {
    Ok = 0,
    // 1xxx: invalid requests.
    MalformedJson = 1001,
    InvalidUtf8 = 1002,
    BodyTooLarge = 1003,
    MissingField = 1004,
    InvalidField = 1005,
    MissingKey = 1006,
    UnknownKey = 1007,
    UnknownModel = 1008,
    UnknownService = 1009,
    UnknownProgram = 1010,
    UnknownTurn = 1011,
    UnknownPath = 1012,
    KeyReused = 1013,
    TurnConflict = 1014,
    RequestTooSlow = 1015,
    ProgramEnded = 1016,
    UnknownCall = 1017,
    // 2xxx: limits.
    TooManyRequests = 2001,
    QueueFull = 2002,
    BudgetExhausted = 2003,
    DeadlineExceeded = 2004,
    ProgramLimitReached = 2005,
    RequestIsolated = 2006,
    TooManyConnections = 2007,
    // 3xxx: state and ownership.
    PartitionUnavailable = 3001,
    OwnerChanged = 3002,
    TurnOutOfOrder = 3003,
    OutcomeUnknown = 3004,
    CallInProgress = 3005,
    NodeDraining = 3006,
    CommitPending = 3007,
    // 4xxx: endpoints.
    NoEndpoint = 4001,
    EndpointFailed = 4002,
    EndpointTimeout = 4003,
    EndpointRefused = 4004,
    StaleFence = 4005,
    // 5xxx: platform.
    StoreUnavailable = 5001,
    StoreConflict = 5002,
    StoreOutcomeUnknown = 5003,
    VmListUnavailable = 5004,
    WeightStoreUnavailable = 5005,
    // 6xxx: document and settings.
    DocumentFault = 6001,
    DocumentConflict = 6002,
    NoDocument = 6003,
    SettingsFault = 6004,
    DocumentOutcomeUnknown = 6005,
    SignInRefused = 6006,
    FileUnreadable = 6007,
    // 7xxx: nodes.
    PeerUnreachable = 7001,
    MalformedFrame = 7002,
    PeerRefused = 7003,
    Internal = 9001,
};

/// \brief Snake-case name of a code, stable across versions, used in error responses and logs.
[[nodiscard]] std::string_view name(ResultCode code) noexcept;

/// \brief HTTP status of a response with this code to a caller.
[[nodiscard]] int httpStatus(ResultCode code) noexcept;

/// \brief Text of the `ran` field of an error response.
[[nodiscard]] std::string_view name(RunState state) noexcept;

/// \brief All codes in ascending order. The documentation test compares them with docs/result-codes.md.
[[nodiscard]] std::span<const ResultCode> allResultCodes() noexcept;

} // namespace lagoontiller::core
