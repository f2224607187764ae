#include "control/impl/TurnMessages.h"

namespace lagoontiller::control::impl {

namespace {

using nlohmann::json;

// Tokens that chat templates add around each message.
constexpr std::uint64_t templateTokensPerMessage = 16;
constexpr std::uint64_t bytesPerToken = 4;

struct History {
    json messages = json::array();
    std::uint64_t tokens = 0;
};

History historyOf(const state::ProgramState* program)
{
    History history;
    if (program == nullptr)
        return history;
    for (const auto& [number, turn] : program->turns) {
        auto added = json::parse(turn.messages, nullptr, false);
        if (turn.replacesHistory)
            history.messages = json::array();
        if (added.is_array())
            history.messages.insert(history.messages.end(), added.begin(), added.end());
        history.tokens = turn.usage.chargedTokens();
    }
    return history;
}

bool startsWith(const json& messages, const json& prefix)
{
    return messages.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), messages.begin());
}

std::uint64_t bytesOf(const json& messages)
{
    std::uint64_t bytes = 0;
    for (const auto& message : messages)
        bytes += message.dump().size();
    return bytes;
}

} // namespace

void prepareMessages(Call& call, const state::ProgramState* program)
{
    auto history = historyOf(program);
    const auto& model = *call.modelCall();
    const auto& received = model.body["messages"];
    const bool extends = model.appendHistory || startsWith(received, history.messages);
    call.replacesHistory = !extends;
    call.addedMessages = json::array();
    const auto known = model.appendHistory || !extends ? 0 : history.messages.size();
    for (std::size_t index = known; index < received.size(); ++index)
        call.addedMessages.push_back(received[index]);
    const auto addedBytes = bytesOf(call.addedMessages) + templateTokensPerMessage * (call.addedMessages.size() + 1);
    const auto historyTokens = extends ? history.tokens : 0;
    call.maxPromptTokens = historyTokens + addedBytes;
    call.estimatedPromptTokens = historyTokens + addedBytes / bytesPerToken;
    call.outgoingBody = model.body;
    if (model.appendHistory) {
        history.messages.insert(history.messages.end(), received.begin(), received.end());
        call.outgoingBody["messages"] = std::move(history.messages);
    }
}

} // namespace lagoontiller::control::impl
