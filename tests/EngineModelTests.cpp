#include "bench/fakes/EngineModel.h"
#include "bench/fakes/EngineText.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

namespace {

using nlohmann::json;

core::TimePoint at(std::int64_t milliseconds)
{
    return core::TimePoint(std::chrono::milliseconds(milliseconds));
}

json messagesOf(const std::string& text)
{
    return json::array({ { { "role", "user" }, { "content", text } } });
}

EngineRequest request(const std::string& id, const std::string& program, const std::string& text)
{
    EngineRequest result;
    result.requestId = id;
    result.program = program;
    result.prompt = serialisePrompt(messagesOf(text));
    return result;
}

struct Completed {
    std::string text;
    std::vector<std::string> order;
    std::map<std::string, EngineUsage> usage;
};

Completed runAll(EngineModel& engine, core::TimePoint until)
{
    Completed result;
    for (const auto& event : engine.advance(until)) {
        result.text += event.text;
        if (event.kind != EngineEvent::Kind::Finished)
            continue;
        result.order.push_back(event.requestId);
        result.usage[event.requestId] = event.usage;
    }
    return result;
}

} // namespace

// Guards against an answer that depends on the layout of the JSON, which the server may change.
TEST(EngineText, DependsOnRoleAndContentOnly)
{
    const auto plain = json::parse(R"([{"role":"user","content":"flick test"}])");
    const auto other = json::parse(R"([ {"name":"x", "content":"flick test", "role":"user"} ])");
    EXPECT_EQ(answerText(plain, 0), answerText(other, 0));
    EXPECT_NE(answerText(plain, 0), answerText(messagesOf("flick tests"), 0));
}

// Guards against a token limit that changes the text instead of truncating it.
TEST(EngineText, LimitCutsTheAnswer)
{
    const auto prompt = serialisePrompt(messagesOf("order 4417"));
    const auto whole = answerTokens(prompt, 0);
    for (const std::size_t limit : { 1U, 7U, 23U }) {
        const auto cut = answerTokens(prompt, limit);
        EXPECT_EQ(cut, std::vector<std::string>(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(limit)));
    }
}

// Guards against tokens that are lost or doubled when a stream is resumed at any byte.
RC_GTEST_PROP(EngineText, ResumeGoesOnExactlyAfterTheText, (const std::string& content))
{
    const auto prompt = serialiseMessage("user", content);
    std::string whole;
    for (const auto& token : answerTokens(prompt, 0))
        whole += token;
    const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
    EngineModel engine({});
    auto resumed = request("r", "p", "");
    resumed.prompt = prompt;
    resumed.resumeText = whole.substr(0, cut);
    RC_ASSERT(engine.submit(resumed, at(0)).has_value());
    RC_ASSERT(resumed.resumeText + runAll(engine, at(100'000)).text == whole);
}

// Guards against an engine that continues a text which it did not generate.
TEST(EngineModel, RefusesForeignResumeText)
{
    EngineModel engine({});
    auto resumed = request("r", "p", "flick test");
    resumed.resumeText = "something else";
    EXPECT_EQ(engine.submit(resumed, at(0)).error().code, core::ResultCode::InvalidField);
}

struct PriorityCase {
    std::string name;
    std::vector<int> priorities;
    std::vector<std::string> finished;
};

class EnginePriorities : public testing::TestWithParam<PriorityCase> { };

// Guards against a queue that ignores the priority or the order of arrival. The first request takes the only slot.
TEST_P(EnginePriorities, WaitingRequestsStartInOrder)
{
    EngineSettings settings;
    settings.slots = 1;
    EngineModel engine(settings);
    for (std::size_t index = 0; index < GetParam().priorities.size(); ++index) {
        auto entry = request("r" + std::to_string(index), "", "prompt");
        entry.priority = GetParam().priorities[index];
        ASSERT_TRUE(engine.submit(entry, at(0)).has_value());
    }
    EXPECT_EQ(runAll(engine, at(100'000)).order, GetParam().finished);
}

INSTANTIATE_TEST_SUITE_P(Cases, EnginePriorities,
    testing::Values(PriorityCase { "equal", { 0, 0, 0 }, { "r0", "r1", "r2" } },
        PriorityCase { "higherFirst", { 0, 1, 9 }, { "r0", "r2", "r1" } },
        PriorityCase { "runningIsKept", { 0, 9, 9 }, { "r0", "r1", "r2" } }),
    [](const auto& info) { return info.param.name; });

// Guards against usage that does not show the cached prefix of the program's earlier turn.
TEST(EngineModel, SecondTurnFindsThePrefixOfTheFirst)
{
    EngineModel engine({});
    auto messages = messagesOf(std::string(400, 'a'));
    EngineRequest first = request("r1", "p", "");
    first.prompt = serialisePrompt(messages);
    ASSERT_TRUE(engine.submit(first, at(0)).has_value());
    const auto answer = runAll(engine, at(10'000)).text;
    messages.push_back({ { "role", "assistant" }, { "content", answer } });
    messages.push_back({ { "role", "user" }, { "content", "go on" } });
    for (const auto* program : { "p", "other" }) {
        auto next = request(std::string("r2") + program, program, "");
        next.prompt = serialisePrompt(messages);
        ASSERT_TRUE(engine.submit(next, at(10'000)).has_value());
        const auto usage = runAll(engine, at(20'000)).usage.at(next.requestId);
        const auto stored = hashPrefix(first.prompt + serialiseMessage("assistant", answer)).tokens();
        EXPECT_EQ(usage.cachedTokens, std::string(program) == "p" ? stored : 0);
    }
}

// Guards against eviction of the newest program and against memory above the capacity.
TEST(EngineModel, EvictsTheLeastRecentlyUsedProgram)
{
    EngineSettings settings;
    settings.kvCapacity = 600;
    EngineModel engine(settings);
    std::int64_t time = 0;
    for (const auto* program : { "a", "b", "c" }) {
        ASSERT_TRUE(engine.submit(request(program, program, std::string(800, 'x')), at(time)).has_value());
        time += 10'000;
        (void)engine.advance(at(time));
        EXPECT_LE(engine.cache().tokens(), settings.kvCapacity);
    }
    EXPECT_EQ(engine.cache().programs(), (std::vector<std::string> { "b", "c" }));
}

// Guards against memory that stays allocated when a program is released while it runs.
TEST(EngineModel, ReleaseFreesTheProgramAlsoWhileItRuns)
{
    EngineModel engine({});
    ASSERT_TRUE(engine.submit(request("r", "p", std::string(400, 'x')), at(0)).has_value());
    engine.release("p", at(1));
    (void)engine.advance(at(10'000));
    EXPECT_EQ(engine.cache().tokens(), 0U);
    EXPECT_EQ(engine.load(at(20'000)).kvUsed, 0U);
}

// Guards against tokens after a cancellation and against a slot that is not released.
TEST(EngineModel, CancelEndsTheRequestAndFreesItsSlot)
{
    EngineSettings settings;
    settings.slots = 1;
    EngineModel engine(settings);
    ASSERT_TRUE(engine.submit(request("r1", "", "one"), at(0)).has_value());
    ASSERT_TRUE(engine.submit(request("r2", "", "two"), at(0)).has_value());
    EXPECT_TRUE(engine.cancel("r1", at(1)));
    const auto result = runAll(engine, at(10'000));
    EXPECT_EQ(result.order, std::vector<std::string> { "r2" });
    EXPECT_EQ(result.text, answerText(messagesOf("two"), 0));
    EXPECT_FALSE(engine.cancel("r1", at(10'000)));
}

// Guards against load reports without lag: a report shows the state `loadLag` before.
TEST(EngineModel, LoadReportLags)
{
    EngineModel engine({});
    ASSERT_TRUE(engine.submit(request("r", "", "one"), at(1'000)).has_value());
    EXPECT_EQ(engine.load(at(1'100)).running, 0U);
    EXPECT_EQ(engine.load(at(1'200)).running, 1U);
}

// Guards against cache events without lag and without the configured gaps.
TEST(EngineModel, CacheEventsAreLateAndHaveGaps)
{
    EngineSettings settings;
    settings.eventGapEvery = 2;
    EngineModel engine(settings);
    CachedPrefix prefix { { 1, 2, 3 } };
    for (const auto* program : { "a", "b", "c" })
        ASSERT_TRUE(engine.importPrefix(program, prefix, at(0)));
    EXPECT_TRUE(engine.events(0, at(199)).events.empty());
    const auto page = engine.events(0, at(200));
    ASSERT_EQ(page.events.size(), 2U);
    EXPECT_EQ(page.events[0].sequence, 1U);
    EXPECT_EQ(page.events[1].sequence, 3U);
    EXPECT_EQ(page.next, 3U);
    EXPECT_TRUE(engine.events(3, at(200)).events.empty());
}

// Guards against an old fencing number that is accepted, or one that is refused by an engine without the check.
TEST(EngineModel, FencingNumberIsCheckedWhereConfigured)
{
    for (const bool checks : { true, false }) {
        EngineSettings settings;
        settings.checksFence = checks;
        EngineModel engine(settings);
        EXPECT_TRUE(engine.order({ "set_role", "x", "1", 5 }, at(0)).has_value());
        EXPECT_TRUE(engine.order({ "set_role", "x", "2", 5 }, at(0)).has_value());
        EXPECT_EQ(engine.order({ "set_role", "x", "3", 4 }, at(0)).has_value(), !checks);
        EXPECT_EQ(engine.orders().size(), checks ? 2U : 3U);
    }
}

} // namespace lagoontiller::fakes
