#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::command {

/// \brief An answer of the operator API.
struct NodeResponse {
    int status = 0;
    nlohmann::json body;
};

/// \brief Address of a node's operator API and the operator key.
class NodeClient {
public:
    NodeClient(std::string address, std::string key)
        : address(std::move(address))
        , key(std::move(key))
    {
    }

    /// \brief Error PeerUnreachable when there was no whole answer; `ran` is MayHaveRun when the request may have
    /// arrived.
    [[nodiscard]] core::Expected<NodeResponse> get(const std::string& path);
    [[nodiscard]] core::Expected<NodeResponse> post(const std::string& path, const nlohmann::json& body);

private:
    [[nodiscard]] core::Expected<NodeResponse> send(
        const std::string& method, const std::string& path, std::string body);

    std::string address;
    std::string key;
    http::Client client;
};

/// \brief Adds `--node`, `--key-file` and `--json`.
void addNodeOptions(cxxopts::Options& options);

/// \brief Where the commands take the node and the key from.
struct NodeAccess {
    std::string address;
    std::string key;
};

/// \brief Reads the node options. Errors: InvalidField for a missing or malformed option, FileUnreadable.
[[nodiscard]] core::Expected<NodeAccess> parseNodeAccess(const cxxopts::ParseResult& parsed);

/// \brief Reports a failure to reach the node or read the key; returns the exit status for it.
[[nodiscard]] int reportError(const cxxopts::Options& options, const core::Error& error);

/// \brief Reports an answer other than 200; returns the exit status for it.
[[nodiscard]] int reportErrorResponse(const cxxopts::Options& options, const NodeResponse& response);

/// \brief Prints indented JSON.
void printJson(const nlohmann::json& value);

/// \brief Text of a field; empty when the field is absent or no text.
[[nodiscard]] std::string textField(const nlohmann::json& object, const std::string& key);

/// \brief One line of a change of the operator API, in the form of `document::format`.
[[nodiscard]] std::string formatChange(const nlohmann::json& change);

} // namespace lagoontiller::command
