#pragma once

#include "callers/HttpServer.h"
#include "core/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace lagoontiller::callers {

/// \brief Headers that assign a call to its program.
struct CallIdentity {
    /// \brief Full program id (`<parent>~<name>` for a sub-agent); empty if the caller sent none.
    std::string program;
    /// \brief Turn number, starting at 1; empty if the system numbers the turns.
    std::optional<std::uint32_t> turn;
    std::string idempotencyKey;
    /// \brief False if the caller states that the call must not be repeated.
    bool repeatable = true;
    /// \brief Class of a new program; if empty, the customer's first class is used.
    std::string programClass;
    [[nodiscard]] bool operator==(const CallIdentity&) const = default;
};

struct ModelCall {
    CallIdentity identity;
    std::string model;
    nlohmann::json body;
    bool stream = false;
    /// \brief True if the messages of the body are appended to the stored history.
    bool appendHistory = false;
    /// \brief Maximum number of tokens in the response.
    std::uint64_t maxTokens = 0;
    /// \brief Digest of the body without `stream`, so that a turn can be requested again with or without streaming.
    std::string digest;
};

struct ServiceCall {
    CallIdentity identity;
    std::string service;
    std::string path;
    std::string contentType;
    std::string body;
    /// \brief Digest of service, path and body.
    std::string digest;
};

struct EndProgram {
    std::string program;
};

struct ShowProgram {
    std::string program;
};

struct FetchTurn {
    std::string program;
    std::uint32_t turn = 0;
};

struct FetchCall {
    std::string program;
    std::string key;
};

struct ListEntries { };

struct ShowMetrics { };

struct ShowHealth { };

using CallerOperation = std::variant<ModelCall, ServiceCall, EndProgram, ShowProgram, FetchTurn, FetchCall, ListEntries,
    ShowMetrics, ShowHealth>;

/// \brief Limits that the request parser applies; the configuration document may lower `maxBodyBytes`.
struct ParserLimits {
    std::size_t maxBodyBytes = std::size_t(8) << 20;
    /// \brief Response length, also assumed for token budgets, if the request has no `max_tokens`.
    std::uint64_t defaultMaxTokens = 1024;
    /// \brief Highest `max_tokens` that a request may set.
    std::uint64_t maxTokensLimit = 131072;
};

/// \brief Parses a request without access to any state. Errors have codes 1xxx; the call has not run.
[[nodiscard]] core::Expected<CallerOperation> parseOperation(
    const IncomingRequest& request, const ParserLimits& limits);

/// \brief The customer key from the Authorization header. Error: MissingKey if the header has no bearer token.
[[nodiscard]] core::Expected<std::string> customerKey(const IncomingRequest& request);

/// \brief Id of the program that an operation concerns; empty if it has none.
[[nodiscard]] std::string programOf(const CallerOperation& operation);

/// \brief Program id for a call with an idempotency key but without a program. It is derived from the key alone, so
/// that calls with the same key belong to the same partition, whichever node receives them.
[[nodiscard]] std::string programIdForKey(const std::string& idempotencyKey);

} // namespace lagoontiller::callers
