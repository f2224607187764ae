#include "tests/support/ControlWorld.h"

#include <sstream>

namespace lagoontiller::tests {

namespace {

nlohmann::json parsed(const std::string& text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

callers::IncomingRequest request(
    const std::string& customer, const std::string& method, const std::string& target, const CallHeaders& headers)
{
    callers::IncomingRequest result;
    result.method = method;
    result.target = target;
    result.headers.push_back({ "Authorization", "Bearer " + customer + ".secret" });
    if (!headers.program.empty())
        result.headers.push_back({ "X-Program-Id", headers.program });
    if (headers.turn != 0)
        result.headers.push_back({ "X-Turn", std::to_string(headers.turn) });
    if (!headers.key.empty())
        result.headers.push_back({ "Idempotency-Key", headers.key });
    if (!headers.programClass.empty())
        result.headers.push_back({ "X-Class", headers.programClass });
    if (headers.append)
        result.headers.push_back({ "X-History", "append" });
    return result;
}

} // namespace

bool CallerAnswer::isStream() const
{
    return http::headerValue(this->headers, "Content-Type") == "text/event-stream";
}

std::string CallerAnswer::text() const
{
    if (!this->isStream()) {
        const auto body = parsed(this->body);
        if (!body.is_object() || !body.contains("choices"))
            return {};
        return body["choices"][0]["message"].value("content", "");
    }
    std::string text;
    std::istringstream lines(this->body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: {"))
            continue;
        const auto chunk = parsed(line.substr(6));
        if (chunk.contains("choices") && !chunk["choices"].empty() && chunk["choices"][0].contains("delta"))
            text += chunk["choices"][0]["delta"].value("content", "");
    }
    return text;
}

std::string CallerAnswer::commitState() const
{
    if (!this->isStream())
        return std::string(http::headerValue(this->headers, "X-Commit-State"));
    const std::string event = "event: lagoontiller.commit\ndata: ";
    const auto position = this->body.find(event);
    if (position == std::string::npos)
        return {};
    const auto begin = position + event.size();
    return parsed(this->body.substr(begin, this->body.find('\n', begin) - begin)).value("commit", "");
}

std::string CallerAnswer::ran() const
{
    const auto position = this->body.rfind("{\"error\":");
    if (position == std::string::npos)
        return {};
    const auto error = parsed(this->body.substr(position, this->body.find('\n', position) - position));
    return error.is_object() ? error["error"].value("ran", "") : std::string();
}

std::string CallerAnswer::code() const
{
    const auto position = this->body.rfind("{\"error\":");
    if (position == std::string::npos)
        return {};
    const auto error = parsed(this->body.substr(position, this->body.find('\n', position) - position));
    return error.is_object() ? error["error"].value("name", "") : std::string();
}

callers::IncomingRequest turnRequest(
    const std::string& customer, const std::string& message, const CallHeaders& headers, bool stream, int maximumTokens)
{
    auto result = request(customer, "POST", "/v1/chat/completions", headers);
    const nlohmann::json messages = nlohmann::json::array({ { { "role", "user" }, { "content", message } } });
    const nlohmann::json body { { "model", "small-model" }, { "messages", messages }, { "stream", stream },
        { "max_tokens", maximumTokens } };
    result.body = body.dump();
    return result;
}

callers::IncomingRequest serviceRequest(
    const std::string& customer, const std::string& path, const std::string& body, const CallHeaders& headers)
{
    auto result = request(customer, "POST", "/v1/services/orders" + path, headers);
    result.body = body;
    return result;
}

callers::IncomingRequest plainRequest(
    const std::string& customer, const std::string& method, const std::string& target, const CallHeaders& headers)
{
    return request(customer, method, target, headers);
}

} // namespace lagoontiller::tests
