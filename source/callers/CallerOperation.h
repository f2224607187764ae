#pragma once

#include "callers/HttpServer.h"
#include "core/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace lagoontiller::callers {

/// \brief Headers that tie a call to its program.
struct CallIdentity {
    /// \brief Full program id (`<parent>~<name>` for a sub-agent); empty when the caller named none.
    std::string program;
    /// \brief 1-based; absent when the caller leaves the numbering to the system.
    std::optional<std::uint32_t> turn;
    std::string idempotencyKey;
    /// \brief False when the caller says that the call may not be repeated.
    bool repeatable = true;
    /// \brief Class of a new program; empty for the customer's first class.
    std::string programClass;
    [[nodiscard]] bool operator==(const CallIdentity&) const = default;
};

struct ModelCall {
    CallIdentity identity;
    std::string model;
    nlohmann::json body;
    bool stream = false;
    /// \brief True when the body's messages are to be added to the stored history.
    bool appendHistory = false;
    /// \brief Most tokens that the answer may have.
    std::uint64_t maxTokens = 0;
    /// \brief Digest of the body without `stream`, so that the same turn can be asked for in either form.
    std::string digest;
};

struct ServiceCall {
    CallIdentity identity;
    std::string service;
    std::string path;
    std::string contentType;
    std::string body;
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

/// \brief Limits that the request parser applies; the document may lower `maxBodyBytes`.
struct ParserLimits {
    std::size_t maxBodyBytes = std::size_t(8) << 20;
    /// \brief Answer length assumed for budgets when the request has no `max_tokens`.
    std::uint64_t defaultMaxTokens = 1024;
    std::uint64_t maxTokensLimit = 131072;
};

/// \brief Reads a request without looking at any state. Errors are 1xxx codes and mean "not run".
[[nodiscard]] core::Expected<CallerOperation> parseOperation(
    const IncomingRequest& request, const ParserLimits& limits);

/// \brief The customer key of the Authorization header. Error: MissingKey.
[[nodiscard]] core::Expected<std::string> customerKey(const IncomingRequest& request);

/// \brief Program that an operation addresses; empty for operations without one.
[[nodiscard]] std::string programOf(const CallerOperation& operation);

/// \brief Program id for a call that has an idempotency key but names no program. It depends on the key alone, so that
/// the same key sent to two nodes meets in one partition.
[[nodiscard]] std::string programIdForKey(const std::string& idempotencyKey);

} // namespace lagoontiller::callers
