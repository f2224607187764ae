#include "command/NodeClient.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/ReadFile.h"
#include "document/Address.h"

#include <cstdlib>
#include <future>
#include <iostream>

namespace lagoontiller::command {

namespace {

using core::ResultCode;

constexpr const char* operatorKeyVariable = "LAGOONTILLER_OPERATOR_KEY";

core::Expected<std::string> readOperatorKey(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("key-file") > 0)
        return readKeyFile(parsed["key-file"].as<std::string>());
    const char* const value = std::getenv(operatorKeyVariable); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::string() : trim(value);
}

} // namespace

core::Expected<NodeResponse> NodeClient::get(const std::string& path)
{
    return this->send("GET", path, {});
}

core::Expected<NodeResponse> NodeClient::post(const std::string& path, const nlohmann::json& body)
{
    return this->send("POST", path, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

core::Expected<NodeResponse> NodeClient::send(const std::string& method, const std::string& path, std::string body)
{
    http::Request request;
    request.method = method;
    request.url = "http://" + this->address + path;
    if (!this->key.empty())
        request.headers = { { "Authorization", "Bearer " + this->key } };
    request.body = std::move(body);
    request.firstByteTimeout = this->kind.responseTimeout;
    // On a reused connection, the HTTP client may retry a POST by itself; the retry of an accepted document would be
    // reported as a conflict with its own version.
    request.freshConnection = true;
    std::promise<tl::expected<http::Response, http::ResponseFailure>> promise;
    auto responseFuture = promise.get_future();
    this->client.fetch(std::move(request), [&promise](auto response) { promise.set_value(std::move(response)); });
    const auto response = responseFuture.get();
    if (!response) {
        const bool mayHaveRun = response.error().kind != http::FailureKind::NotConnected;
        return core::failure(ResultCode::PeerUnreachable,
            "no response from " + this->address + ": " + std::string(http::name(response.error().kind)) + ", "
                + response.error().message,
            mayHaveRun ? core::RunState::MayHaveRun : core::RunState::NotRun);
    }
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object()) {
        return core::failure(ResultCode::PeerUnreachable,
            this->address + " is not the " + this->kind.name
                + " address of a node: response is not a JSON object, HTTP status " + std::to_string(response->status),
            core::RunState::MayHaveRun);
    }
    return NodeResponse { response->status, std::move(json) };
}

void addNodeOptions(cxxopts::Options& options)
{
    options.add_options()("node", "Operator address of a node, IP:port", cxxopts::value<std::string>())("key-file",
        "File with the operator key (- for stdin); default: the environment variable LAGOONTILLER_OPERATOR_KEY",
        cxxopts::value<std::string>())("json", "Print JSON");
}

core::Expected<NodeAccess> parseNodeAccess(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("node") != 1)
        return core::failure(
            ResultCode::InvalidField, "--node IP:PORT is required exactly once: the operator address of a node");
    const auto address = document::parseAddress(parsed["node"].as<std::string>());
    if (!address)
        return core::failure(ResultCode::InvalidField, "--node requires an IP address and port such as 127.0.0.1:8301");
    auto key = readOperatorKey(parsed);
    if (!key)
        return tl::unexpected(key.error());
    if (key->empty()) {
        return core::failure(ResultCode::InvalidField,
            "the operator key is required: set the environment variable " + std::string(operatorKeyVariable)
                + " or --key-file");
    }
    return NodeAccess { address->text(), std::move(*key) };
}

int reportError(const cxxopts::Options& options, const core::Error& error)
{
    if (error.code == ResultCode::InvalidField)
        return usageError(options, error.message);
    std::cerr << options.program() << ": " << error.message << '\n';
    return ExitStatus::Unavailable;
}

int reportErrorResponse(const cxxopts::Options& options, const NodeResponse& response)
{
    const auto error = response.body.value("error", nlohmann::json::object());
    std::cerr << options.program() << ": " << textField(error, "message") << " (HTTP status " << response.status;
    if (error.contains("code") && error["code"].is_number_integer())
        std::cerr << ", result code " << error["code"] << ' ' << textField(error, "name");
    if (!textField(error, "ran").empty())
        std::cerr << ", " << textField(error, "ran");
    std::cerr << ")\n";
    // Statuses below 500 mean that the request is invalid, so a retry would fail again.
    constexpr int firstServerErrorStatus = 500;
    return response.status < firstServerErrorStatus ? ExitStatus::Usage : ExitStatus::Unavailable;
}

void printJson(const nlohmann::json& value)
{
    std::cout << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

std::string textField(const nlohmann::json& object, const std::string& key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string formatChange(const nlohmann::json& change)
{
    const auto kind = textField(change, "change");
    const auto key = textField(change, "key");
    auto line = kind + " [" + textField(change, "section") + "]";
    if (key.empty())
        return line;
    line += ' ' + key;
    if (kind == "added")
        return line + " = " + textField(change, "new");
    if (kind == "removed")
        return line + " = " + textField(change, "old");
    return line + ": " + textField(change, "old") + " -> " + textField(change, "new");
}

} // namespace lagoontiller::command
