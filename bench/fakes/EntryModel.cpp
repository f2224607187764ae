#include "bench/fakes/EntryModel.h"

#include "bench/fakes/EngineText.h"
#include "core/ResultCode.h"

#include <limits>

namespace lagoontiller::fakes {

namespace {

using core::ResultCode;
using nlohmann::json;

EntryReply refuse(ResultCode code)
{
    return refusalReply(static_cast<int>(code), std::string(core::name(code)), core::httpStatus(code), "not run");
}

} // namespace

EntryReply refusalReply(int code, const std::string& name, int status, const std::string& ran)
{
    return { status, { { "error", { { "code", code }, { "name", name }, { "message", name }, { "ran", ran } } } } };
}

EntryModel::EntryModel(json classes, json customers)
    : classes(std::move(classes))
    , customers(std::move(customers))
{
}

std::uint64_t EntryModel::limit(const std::string& customer, const char* name) const
{
    const auto found = this->classes.find(this->customers.value(customer, ""));
    constexpr auto none = std::numeric_limits<std::uint64_t>::max();
    return found == this->classes.end() ? none : found->value(name, none);
}

EntryReply EntryModel::turn(
    const std::string& customer, const std::string& program, std::uint64_t number, bool append, const json& body)
{
    const std::lock_guard lock(this->mutex);
    auto& state = this->programs[program];
    if (const auto stored = state.answers.find(number); stored != state.answers.end())
        return { 200, stored->second };
    if (state.ended)
        return refuse(ResultCode::ProgramEnded);
    if (number != state.answers.size() + 1)
        return refuse(ResultCode::TurnOutOfOrder);
    if (number > this->limit(customer, "max_turns"))
        return refuse(ResultCode::ProgramLimitReached);
    auto messages = append ? state.history : json::array();
    for (const auto& message : body.at("messages"))
        messages.push_back(message);
    const auto prompt = serialisePrompt(messages);
    const auto maxTokens = body.value("max_tokens", std::uint64_t { 0 });
    if (state.tokens + countTokens(prompt) + maxTokens > this->limit(customer, "max_tokens"))
        return refuse(ResultCode::BudgetExhausted);
    const auto tokens = answerTokens(prompt, maxTokens);
    std::string text;
    for (const auto& token : tokens)
        text += token;
    state.tokens += countTokens(prompt) + tokens.size();
    messages.push_back({ { "role", "assistant" }, { "content", text } });
    state.history = std::move(messages);
    const json answer { { "object", "chat.completion" },
        { "choices",
            { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } },
                { "finish_reason", "stop" } } } },
        { "usage",
            { { "prompt_tokens", countTokens(prompt) }, { "completion_tokens", tokens.size() },
                { "cached_tokens", 0 } } } };
    state.answers[number] = answer;
    return { 200, answer };
}

EntryReply EntryModel::storedTurn(const std::string& program, std::uint64_t number) const
{
    const std::lock_guard lock(this->mutex);
    const auto state = this->programs.find(program);
    if (state == this->programs.end())
        return refuse(ResultCode::UnknownProgram);
    const auto stored = state->second.answers.find(number);
    return stored == state->second.answers.end() ? refuse(ResultCode::UnknownTurn) : EntryReply { 200, stored->second };
}

EntryReply EntryModel::call(const std::string& key, const std::string& path, const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    if (const auto stored = this->calls.find(key); stored != this->calls.end())
        return { 200, stored->second };
    const auto& entry = this->service.execute("", key, path, body);
    const json answer { { "ok", true }, { "sequence", entry.sequence } };
    this->calls[key] = answer;
    return { 200, answer };
}

EntryReply EntryModel::storedCall(const std::string& key) const
{
    const std::lock_guard lock(this->mutex);
    const auto stored = this->calls.find(key);
    return stored == this->calls.end() ? refuse(ResultCode::UnknownCall) : EntryReply { 200, stored->second };
}

EntryReply EntryModel::end(const std::string& program)
{
    const std::lock_guard lock(this->mutex);
    this->programs[program].ended = true;
    return { 200, { { "ended", true } } };
}

std::vector<LedgerEntry> EntryModel::ledger() const
{
    const std::lock_guard lock(this->mutex);
    return this->service.ledger();
}

} // namespace lagoontiller::fakes
