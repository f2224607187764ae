#include "bench/fakes/ChatAnswer.h"
#include "bench/fakes/EngineText.h"
#include "bench/fakes/Trace.h"

#include <fstream>
#include <sstream>

namespace lagoontiller::fakes {

namespace {

using nlohmann::json;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// \brief Contents of the programs of a trace, including their sub-agents.
struct TraceSummary {
    int turns = 0;
    int refused = 0;
    int subAgents = 0;
    std::vector<std::string> keys;
    std::vector<std::string> sideEffects;
};

void summarise(const std::vector<TraceStep>& steps, TraceSummary& summary)
{
    auto history = json::array();
    for (const auto& step : steps) {
        if (const auto* turn = std::get_if<TraceTurn>(&step.action)) {
            for (const auto& message : turn->messages)
                history.push_back(message);
            if (!turn->refused.empty()) {
                ++summary.refused;
                continue;
            }
            ++summary.turns;
            EXPECT_EQ(turn->expectedText, answerText(history, turn->maxTokens));
            history.push_back({ { "role", "assistant" }, { "content", turn->expectedText } });
        } else if (const auto* call = std::get_if<TraceCall>(&step.action)) {
            summary.keys.push_back(call->key);
            if (!call->repeatable)
                summary.sideEffects.push_back(call->path);
        } else if (const auto* agent = std::get_if<TraceSubAgent>(&step.action)) {
            ++summary.subAgents;
            summarise(agent->steps, summary);
        }
    }
}

struct TraceCase {
    std::string file;
    std::string deployment;
    std::set<std::string> sideEffects;
};

class RecordedTraces : public testing::TestWithParam<TraceCase> { };

} // namespace

// Guards against expected texts that differ from the engine model, duplicate keys, and traces that lack a kind of step.
TEST_P(RecordedTraces, MatchTheEngineModel)
{
    const auto trace = parseTrace(readFile(TEST_DATA "/traces/" + GetParam().file));
    ASSERT_TRUE(trace.has_value()) << trace.error().line << ": " << trace.error().message;
    EXPECT_EQ(trace->deployment, GetParam().deployment);
    EXPECT_EQ(trace->programs.size(), 12U);
    TraceSummary summary;
    std::set<std::string> names;
    for (const auto& program : trace->programs) {
        EXPECT_TRUE(names.insert(program.name).second) << program.name;
        EXPECT_TRUE(trace->classes.contains(program.programClass)) << program.programClass;
        EXPECT_TRUE(std::holds_alternative<TraceEnd>(program.steps.back().action));
        summarise(program.steps, summary);
    }
    EXPECT_EQ(summary.refused, 2);
    EXPECT_EQ(summary.subAgents, 3);
    EXPECT_GT(summary.turns, 36);
    EXPECT_EQ(std::set(summary.keys.begin(), summary.keys.end()).size(), summary.keys.size());
    EXPECT_EQ(std::set(summary.sideEffects.begin(), summary.sideEffects.end()), GetParam().sideEffects);
}

INSTANTIATE_TEST_SUITE_P(Deployments, RecordedTraces,
    testing::Values(TraceCase { "nilavilakku.jsonl", "Nilavilakku", { "/v1/certificates", "/v1/defect-notices" } },
        TraceCase { "minningarskjoldur.jsonl", "Minningarskjöldur", { "/v1/charges", "/v1/engravings" } }),
    [](const auto& info) { return info.param.file.substr(0, info.param.file.find('.')); });

// Guards against a trace fault that is reported without its line.
TEST(Trace, FaultNamesItsLine)
{
    const auto trace = parseTrace("{\"deployment\":\"x\",\"classes\":{}}\n{\"program\":1}\n");
    ASSERT_FALSE(trace.has_value());
    EXPECT_EQ(trace.error().line, 2);
}

namespace {

struct StreamCase {
    std::string name;
    std::string body;
    std::optional<std::string> text;
    std::string commit;
};

class Streams : public testing::TestWithParam<StreamCase> { };

constexpr const char* firstChunk = "data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\n\n";
constexpr const char* secondChunk = "data: {\"choices\":[{\"delta\":{\"content\":\" c\"}}]}\r\n\r\n";
constexpr const char* commitEvent = "event: lagoontiller.commit\ndata: {\"commit\":\"pending\"}\n\n";

} // namespace

// Guards against a truncated stream that is accepted as complete, which would hide lost tokens.
TEST_P(Streams, AreWholeOnlyWithTheirEnd)
{
    const auto answer = parseStream(GetParam().body);
    EXPECT_EQ(answer.has_value(), GetParam().text.has_value());
    if (!answer)
        return;
    EXPECT_EQ(answer->text, *GetParam().text);
    EXPECT_EQ(answer->commit, GetParam().commit);
}

INSTANTIATE_TEST_SUITE_P(Cases, Streams,
    testing::Values(StreamCase { "cut", std::string(firstChunk) + secondChunk, std::nullopt, "" },
        StreamCase { "whole", std::string(firstChunk) + secondChunk + "data: [DONE]\n\n", "ab c", "" },
        StreamCase { "commit", std::string(firstChunk) + commitEvent + "data: [DONE]\n\n", "ab", "pending" },
        StreamCase { "empty", "", std::nullopt, "" }),
    [](const auto& info) { return info.param.name; });

// Guards against a refusal that is mistaken for an answer, in a body or in a stream.
TEST(Refusals, AreReadFromBodyAndStream)
{
    const std::string body = R"({"error":{"code":2003,"name":"budget_exhausted","message":"m","ran":"not run",)"
                             R"("retry_after_ms":500}})";
    const Refusal expected { 2003, "budget_exhausted", "not run", "m", 500 };
    EXPECT_EQ(parseRefusal(body), expected);
    EXPECT_EQ(parseRefusal(firstChunk + ("data: " + body) + "\n\n"), expected);
    EXPECT_FALSE(parseRefusal(firstChunk).has_value());
}

} // namespace lagoontiller::fakes
