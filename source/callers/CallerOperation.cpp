#include "callers/CallerOperation.h"

#include "callers/impl/RequestFields.h"
#include "core/Encoding.h"
#include "core/Hash.h"

namespace lagoontiller::callers {

namespace {

using core::ResultCode;
using nlohmann::json;

core::Expected<CallIdentity> parseIdentity(const IncomingRequest& request)
{
    CallIdentity identity;
    const auto program = impl::identifierHeader(request, "X-Program-Id");
    const auto parent = impl::identifierHeader(request, "X-Parent-Program-Id");
    const auto key = impl::identifierHeader(request, "Idempotency-Key");
    const auto programClass = impl::identifierHeader(request, "X-Class");
    const auto turn = impl::turnHeader(request);
    const auto repeatable = impl::booleanHeader(request, "X-Repeatable", true);
    for (const auto* each : { &program, &parent, &key, &programClass }) {
        if (!*each)
            return tl::unexpected(each->error());
    }
    if (!turn)
        return tl::unexpected(turn.error());
    if (!repeatable)
        return tl::unexpected(repeatable.error());
    identity.program = *program;
    if (!parent->empty()) {
        if (program->empty())
            return core::failure(ResultCode::MissingField, "X-Parent-Program-Id needs X-Program-Id");
        if (!program->starts_with(*parent + "~"))
            identity.program = *parent + "~" + *program;
    }
    identity.turn = *turn;
    identity.idempotencyKey = *key;
    identity.repeatable = *repeatable;
    identity.programClass = *programClass;
    return identity;
}

core::Expected<json> parseBody(const std::string& text)
{
    if (!core::isUtf8(text))
        return core::failure(ResultCode::InvalidUtf8, "the body is not valid UTF-8");
    auto body = json::parse(text, nullptr, false);
    if (body.is_discarded())
        return core::failure(ResultCode::MalformedJson, "the body is not valid JSON");
    if (!body.is_object())
        return core::failure(ResultCode::InvalidField, "the body must be a JSON object");
    return body;
}

core::Expected<void> checkMessages(const json& body)
{
    if (!body.contains("messages"))
        return core::failure(ResultCode::MissingField, "messages is missing");
    const auto& messages = body["messages"];
    if (!messages.is_array() || messages.empty())
        return core::failure(ResultCode::InvalidField, "messages must be an array with at least one message");
    for (const auto& message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return core::failure(ResultCode::InvalidField, "each message must be an object with a role");
    }
    return {};
}

core::Expected<std::uint64_t> maxTokens(const json& body, const ParserLimits& limits)
{
    for (const char* field : { "max_completion_tokens", "max_tokens" }) {
        if (!body.contains(field) || body[field].is_null())
            continue;
        const auto& value = body[field];
        const auto rangeMessage
            = std::string(field) + " must be a whole number from 1 to " + std::to_string(limits.maxTokensLimit);
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0
            || value.get<std::uint64_t>() > limits.maxTokensLimit)
            return core::failure(ResultCode::InvalidField, rangeMessage);
        return value.get<std::uint64_t>();
    }
    return limits.defaultMaxTokens;
}

core::Expected<CallerOperation> parseModelCall(const IncomingRequest& request, const ParserLimits& limits)
{
    auto identity = parseIdentity(request);
    if (!identity)
        return tl::unexpected(identity.error());
    auto body = parseBody(request.body);
    if (!body)
        return tl::unexpected(body.error());
    if (!body->contains("model") || !(*body)["model"].is_string())
        return core::failure(ResultCode::MissingField, "model is missing or not a string");
    if (const auto checked = checkMessages(*body); !checked)
        return tl::unexpected(checked.error());
    if (body->contains("stream") && !(*body)["stream"].is_boolean())
        return core::failure(ResultCode::InvalidField, "stream must be true or false");
    const auto tokens = maxTokens(*body, limits);
    if (!tokens)
        return tl::unexpected(tokens.error());
    const auto history = impl::identifierHeader(request, "X-History");
    if (!history || !(history->empty() || *history == "full" || *history == "append"))
        return core::failure(ResultCode::InvalidField, "X-History must be full or append");
    ModelCall call;
    call.identity = std::move(*identity);
    call.model = (*body)["model"];
    call.stream = body->value("stream", false);
    call.appendHistory = *history == "append";
    call.maxTokens = *tokens;
    body->erase("stream");
    call.digest = core::digestHex(body->dump());
    (*body)["max_tokens"] = *tokens;
    call.body = std::move(*body);
    return call;
}

core::Expected<CallerOperation> parseServiceCall(const IncomingRequest& request, std::string_view pathSuffix)
{
    const auto slash = pathSuffix.find('/');
    auto identity = parseIdentity(request);
    if (!identity)
        return tl::unexpected(identity.error());
    if (slash == 0 || slash == std::string_view::npos)
        return core::failure(ResultCode::UnknownPath, "the path must be /v1/services/<service>/<path>");
    ServiceCall call;
    call.identity = std::move(*identity);
    call.service = std::string(pathSuffix.substr(0, slash));
    call.path = std::string(pathSuffix.substr(slash));
    call.contentType = std::string(http::headerValue(request.headers, "Content-Type"));
    if (call.contentType.empty())
        call.contentType = "application/json";
    if (call.contentType.starts_with("application/json")) {
        if (!core::isUtf8(request.body))
            return core::failure(ResultCode::InvalidUtf8, "the body is not valid UTF-8");
        if (!request.body.empty() && !json::accept(request.body))
            return core::failure(ResultCode::MalformedJson, "the body is not valid JSON");
    }
    call.body = request.body;
    call.digest = core::digestHex(call.service + '\n' + call.path + '\n' + call.body);
    return call;
}

core::Expected<CallerOperation> parseProgramPath(const IncomingRequest& request, std::string_view pathSuffix)
{
    const auto slash = pathSuffix.find('/');
    const auto program = core::decodeUrl(pathSuffix.substr(0, slash));
    if (!program || !impl::isIdentifier(*program))
        return core::failure(ResultCode::InvalidField, "the program id is malformed");
    const auto action = slash == std::string_view::npos ? std::string_view {} : pathSuffix.substr(slash + 1);
    if (request.method == "POST" && action == "end")
        return EndProgram { *program };
    if (request.method == "GET" && action.empty())
        return ShowProgram { *program };
    constexpr std::string_view turnsPrefix = "turns/";
    if (request.method == "GET" && action.starts_with(turnsPrefix)) {
        const auto turn = impl::parseTurn(action.substr(turnsPrefix.size()));
        if (!turn)
            return core::failure(ResultCode::InvalidField, "the turn must be a whole number from 1 to 100000");
        return FetchTurn { *program, *turn };
    }
    return core::failure(ResultCode::UnknownPath, "unknown path below /v1/programs/<id>");
}

core::Expected<CallerOperation> parseFetchCall(const IncomingRequest& request, std::string_view pathSuffix)
{
    const auto key = core::decodeUrl(pathSuffix);
    const auto program = impl::identifierHeader(request, "X-Program-Id");
    if (!key || !impl::isIdentifier(*key) || !program)
        return core::failure(ResultCode::InvalidField, "the idempotency key or X-Program-Id is malformed");
    return FetchCall { program->empty() ? programIdForKey(*key) : *program, *key };
}

} // namespace

core::Expected<CallerOperation> parseOperation(const IncomingRequest& request, const ParserLimits& limits)
{
    constexpr std::string_view servicesPrefix = "/v1/services/";
    constexpr std::string_view programsPrefix = "/v1/programs/";
    constexpr std::string_view callsPrefix = "/v1/calls/";
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (request.body.size() > limits.maxBodyBytes) {
        return core::failure(
            ResultCode::BodyTooLarge, "the body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes");
    }
    if (request.method == "POST" && path == "/v1/chat/completions")
        return parseModelCall(request, limits);
    if (request.method == "POST" && path.starts_with(servicesPrefix))
        return parseServiceCall(request, path.substr(servicesPrefix.size()));
    if (path.starts_with(programsPrefix))
        return parseProgramPath(request, path.substr(programsPrefix.size()));
    if (request.method == "GET" && path.starts_with(callsPrefix))
        return parseFetchCall(request, path.substr(callsPrefix.size()));
    if (request.method == "GET" && path == "/v1/entries")
        return ListEntries {};
    if (request.method == "GET" && path == "/metrics")
        return ShowMetrics {};
    if (request.method == "GET" && path == "/healthz")
        return ShowHealth {};
    return core::failure(ResultCode::UnknownPath, "unknown path or method");
}

core::Expected<std::string> customerKey(const IncomingRequest& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = http::headerValue(request.headers, "Authorization");
    if (!value.starts_with(scheme) || value.size() == scheme.size())
        return core::failure(ResultCode::MissingKey, "send the header Authorization: Bearer <customer key>");
    return std::string(value.substr(scheme.size()));
}

std::string programOf(const CallerOperation& operation)
{
    return std::visit(
        [](const auto& each) -> std::string {
            if constexpr (requires { each.identity.program; })
                return each.identity.program;
            else if constexpr (requires { each.program; })
                return each.program;
            else
                return {};
        },
        operation);
}

std::string programIdForKey(const std::string& idempotencyKey)
{
    return "key-" + core::digestHex(idempotencyKey);
}

} // namespace lagoontiller::callers
