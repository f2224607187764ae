#include "bench/fakes/ChatAnswer.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

namespace {

using nlohmann::json;

json parseOrDiscard(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

void readUsage(const json& body, ChatAnswer& answer)
{
    const auto usage = body.find("usage");
    if (usage == body.end() || !usage->is_object())
        return;
    answer.hasUsage = true;
    answer.promptTokens = usage->value("prompt_tokens", 0U);
    answer.cachedTokens = usage->value("cached_tokens", 0U);
}

std::string contentOf(const json& body, const char* part)
{
    const auto pointer = json::json_pointer(std::string("/choices/0/") + part + "/content");
    if (!body.contains(pointer) || !body.at(pointer).is_string())
        return "";
    return body.at(pointer).get<std::string>();
}

/// \brief Calls `visit(event, data)` for each event of a server-sent event stream.
template <typename Visitor> void forEachEvent(std::string_view body, Visitor visit)
{
    std::string event;
    std::string data;
    while (!body.empty()) {
        const auto end = body.find('\n');
        auto line = body.substr(0, end);
        body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("event:"))
            event = line.substr(line.find_first_not_of(' ', 6));
        else if (line.starts_with("data:"))
            data += line.substr(std::min(line.size(), line.find_first_not_of(' ', 5)));
        if (!line.empty())
            continue;
        if (!data.empty())
            visit(event, data);
        event.clear();
        data.clear();
    }
}

std::optional<Refusal> refusalOf(const json& body)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return std::nullopt;
    const auto& error = body["error"];
    return Refusal { error.value("code", 0), error.value("name", ""), error.value("ran", ""),
        error.value("message", ""), error.value("retry_after_ms", std::int64_t { -1 }) };
}

} // namespace

std::optional<ChatAnswer> parseCompletion(std::string_view body)
{
    const auto parsed = parseOrDiscard(body);
    if (!parsed.is_object() || !parsed.contains("choices"))
        return std::nullopt;
    ChatAnswer answer;
    answer.text = contentOf(parsed, "message");
    answer.commit = parsed.value("commit", "");
    readUsage(parsed, answer);
    return answer;
}

std::optional<ChatAnswer> parseStream(std::string_view body)
{
    ChatAnswer answer;
    bool done = false;
    forEachEvent(body, [&answer, &done](const std::string& event, const std::string& data) {
        if (data == "[DONE]") {
            done = true;
            return;
        }
        const auto parsed = parseOrDiscard(data);
        if (!parsed.is_object())
            return;
        if (event == "lagoontiller.commit") {
            answer.commit = parsed.value("commit", "");
            return;
        }
        answer.text += contentOf(parsed, "delta");
        readUsage(parsed, answer);
    });
    return done ? std::optional(answer) : std::nullopt;
}

std::optional<Refusal> parseRefusal(std::string_view body)
{
    if (auto whole = refusalOf(parseOrDiscard(body)))
        return whole;
    std::optional<Refusal> found;
    forEachEvent(body, [&found](const std::string&, const std::string& data) {
        if (!found)
            found = refusalOf(parseOrDiscard(data));
    });
    return found;
}

} // namespace lagoontiller::fakes
