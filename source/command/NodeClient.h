#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::command {

/// \brief Response of the operator API.
struct NodeResponse {
    /// \brief HTTP status code.
    int status = 0;
    nlohmann::json body;
};

/// \brief One of the addresses of a node that answer with JSON.
struct NodeAddressKind {
    std::string name;
    core::Duration responseTimeout {};
};

/// \brief The node gives up accepting a document after 8 store failures of up to 5 s each, with waits of up to 25 s in
/// total between them.
inline const NodeAddressKind operatorAddress { "operator", std::chrono::seconds(90) };
/// \brief The node answers route queries from its memory.
inline const NodeAddressKind metricsAddress { "metrics", std::chrono::seconds(5) };

/// \brief Sends requests to one node and waits for the responses.
class NodeClient {
public:
    /// \brief `key` is the operator key; empty for an address that needs none.
    NodeClient(std::string address, std::string key, NodeAddressKind kind = operatorAddress)
        : address(std::move(address))
        , key(std::move(key))
        , kind(std::move(kind))
    {
    }

    /// \brief Returns the response, whatever its HTTP status. Error PeerUnreachable if the response is incomplete or no
    /// JSON object; `ran` is MayHaveRun if the node may have received the request.
    [[nodiscard]] core::Expected<NodeResponse> get(const std::string& path);
    /// \brief Sends a JSON body; same results as get().
    [[nodiscard]] core::Expected<NodeResponse> post(const std::string& path, const nlohmann::json& body);

private:
    [[nodiscard]] core::Expected<NodeResponse> send(
        const std::string& method, const std::string& path, std::string body);

    std::string address;
    std::string key;
    NodeAddressKind kind;
    http::Client client;
};

/// \brief Adds the options `--node`, `--key-file` and `--json`.
void addNodeOptions(cxxopts::Options& options);

/// \brief Operator address of a node and the operator key.
struct NodeAccess {
    std::string address;
    std::string key;
};

/// \brief Reads the address and the key from the options that addNodeOptions() adds; without `--key-file`, the key is
/// taken from LAGOONTILLER_OPERATOR_KEY. Errors: InvalidField if the address is missing or malformed or the key is
/// missing or empty, FileUnreadable.
[[nodiscard]] core::Expected<NodeAccess> parseNodeAccess(const cxxopts::ParseResult& parsed);

/// \brief Writes an error to standard error. Returns ExitStatus::Usage for InvalidField, else ExitStatus::Unavailable.
[[nodiscard]] int reportError(const cxxopts::Options& options, const core::Error& error);

/// \brief Writes the error of a response with a status other than 200 to standard error. Returns ExitStatus::Usage for
/// HTTP statuses below 500, else ExitStatus::Unavailable.
[[nodiscard]] int reportErrorResponse(const cxxopts::Options& options, const NodeResponse& response);

/// \brief Prints indented JSON to standard output; replaces invalid UTF-8.
void printJson(const nlohmann::json& value);

/// \brief Returns the string value of a field; empty if the field is absent or not a string.
[[nodiscard]] std::string textField(const nlohmann::json& object, const std::string& key);

/// \brief Formats a change from the JSON of the operator API as one line, in the same form as `document::format`.
[[nodiscard]] std::string formatChange(const nlohmann::json& change);

} // namespace lagoontiller::command
