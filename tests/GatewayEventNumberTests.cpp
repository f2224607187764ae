// Streams whose event numbers are irregular, on real sockets: what the caller gets, where the stream goes on, and that
// no turn is kept without some of its events.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using Answer = ScriptedEndpoint::Answer;
using Then = Answer::Then;
using transport::ExchangeEnd;

enum class Kind : int {
    Resumable,
    NotResumable,
    Idempotent,
};

gateway::Route streamRoute(Kind kind, bool keepsHistory = false)
{
    gateway::Route route;
    route.name = "r";
    route.kind = kind == Kind::Idempotent ? gateway::CallKind::Idempotent : gateway::CallKind::Streaming;
    route.maxAttempts = 2;
    route.resumable = kind == Kind::Resumable;
    route.keepsHistory = keepsHistory;
    route.retention = std::chrono::seconds(60);
    route.targetLatency = std::chrono::milliseconds(300);
    route.targetGap = std::chrono::milliseconds(250);
    return route;
}

std::string eventText(int id, const std::string& data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string eventTexts(const std::vector<int>& ids, const std::string& data)
{
    std::string text;
    for (const auto id : ids)
        text += eventText(id, data);
    return text;
}

/// \brief Events of a run in one chunk.
std::string run(const std::vector<int>& ids, const std::string& data = "a")
{
    return streamHead("{id}") + transport::chunk(eventTexts(ids, data));
}

std::string wholeRun(const std::vector<int>& ids, const std::string& data = "a")
{
    return run(ids, data) + std::string(transport::lastChunk);
}

struct EventNumberCase {
    std::string name;
    Kind kind = Kind::Resumable;
    /// \brief What every endpoint writes, and what follows.
    std::string answer;
    Then then = Then::Keep;
    /// \brief What it writes instead for a request with Last-Event-Id.
    std::string resumed;
    /// \brief What the caller gets.
    std::string body;
    ExchangeEnd end = ExchangeEnd::Complete;
    std::size_t requests = 1;
    /// \brief Header lines of the caller.
    std::string head {};
    int status = 200;
    /// \brief What every endpoint writes later, in place of `then`.
    std::string later {};
};

void PrintTo(const EventNumberCase& each, std::ostream* stream)
{
    *stream << each.name;
}

class EventNumbers : public testing::TestWithParam<EventNumberCase> { };

const std::string firstTwo = eventTexts({ 1, 2 }, "a");
const std::string wholeFour = firstTwo + eventTexts({ 3, 4 }, "b");
const std::string lastTwo = wholeRun({ 3, 4 }, "b");
const std::string unnumbered = "data: a\n\n";
const std::string unnumberedRun = streamHead("{id}") + transport::chunk(unnumbered);
const std::string unreadable = "id: 1a\ndata: a\n\n";
const std::string unreadableRun = streamHead("{id}") + transport::chunk(unreadable);
/// \brief Separates writes, so that what was written before reaches the caller although the call fails then.
constexpr std::chrono::milliseconds pause(30);
const std::string resumption = "Last-Event-Id: 2\r\n";

} // namespace

// Guards against a stream in which an event is missing or comes twice, or that joins events of two runs, and that ends
// as if it were complete.
TEST_P(EventNumbers, AreWholeOrTheStreamEndsBroken)
{
    const auto& each = GetParam();
    GatewayWorld world;
    const Answer answer { each.answer, each.later.empty() ? each.then : Then::Repeat, each.later, pause, each.resumed };
    ScriptedEndpoint first(world.context, { answer });
    ScriptedEndpoint second(world.context, { answer });
    world.serve(streamRoute(each.kind), { &first, &second });
    const auto seen = world.ask("a", each.head);
    ASSERT_TRUE(seen->end.has_value());
    EXPECT_EQ(seen->status, each.status);
    EXPECT_EQ(seen->body, each.body);
    EXPECT_EQ(*seen->end, each.end);
    EXPECT_EQ(first.requests.size() + second.requests.size(), each.requests);
}

INSTANTIATE_TEST_SUITE_P(Cases, EventNumbers,
    testing::Values(EventNumberCase { "GapMidway", Kind::Resumable, wholeRun({ 1, 2, 4 }), Then::Keep, lastTwo,
                        wholeFour, ExchangeEnd::Complete, 2 },
        EventNumberCase { "Twice", Kind::Resumable, wholeRun({ 1, 2, 2, 3 }), Then::Keep, lastTwo, wholeFour,
            ExchangeEnd::Complete, 2 },
        EventNumberCase { "Falling", Kind::Resumable, wholeRun({ 1, 2, 1, 3 }), Then::Keep, lastTwo, wholeFour,
            ExchangeEnd::Complete, 2 },
        EventNumberCase { "ResumedWithAGap", Kind::Resumable, run({ 1, 2 }), Then::Reset, wholeRun({ 4, 5 }, "b"),
            firstTwo, ExchangeEnd::Broken, 2 },
        EventNumberCase { "ResumedFromTheStart", Kind::Resumable, run({ 1, 2 }), Then::Reset,
            wholeRun({ 1, 2, 3 }, "b"), firstTwo, ExchangeEnd::Broken, 2 },
        EventNumberCase { "ResumedWithoutNumbers", Kind::Resumable, run({ 1, 2 }), Then::Reset,
            unnumberedRun + std::string(transport::lastChunk), firstTwo, ExchangeEnd::Broken, 2 },
        EventNumberCase {
            "BrokenWithoutNumbers", Kind::Resumable, unnumberedRun, Then::Reset, {}, unnumbered, ExchangeEnd::Broken },
        EventNumberCase { "BrokenWithUnreadableNumbers", Kind::Resumable, unreadableRun, Then::Reset, {}, unreadable,
            ExchangeEnd::Broken },
        EventNumberCase { "BrokenWithoutNumbersIfIdempotent", Kind::Idempotent, unnumberedRun, Then::Reset, {},
            unnumbered, ExchangeEnd::Broken },
        EventNumberCase { "WithoutNumbers", Kind::Resumable, unnumberedRun + std::string(transport::lastChunk),
            Then::Keep, {}, unnumbered },
        EventNumberCase { "GapWithoutResumption", Kind::NotResumable, run({ 1 }), Then::Keep, {}, eventText(1, "a"),
            ExchangeEnd::Broken, 1, {}, 200, event(3, "a") + std::string(transport::lastChunk) },
        EventNumberCase { "TwiceWithoutResumption", Kind::NotResumable, run({ 1 }), Then::Keep, {}, eventText(1, "a"),
            ExchangeEnd::Broken, 1, {}, 200, event(1, "a") + std::string(transport::lastChunk) },
        EventNumberCase {
            "Sparse", Kind::Resumable, wholeRun({ 10, 20, 30 }), Then::Keep, {}, eventTexts({ 10, 20, 30 }, "a") },
        EventNumberCase { "SparseResumed", Kind::Resumable, run({ 10, 20 }), Then::Reset, wholeRun({ 40, 50 }),
            eventTexts({ 10, 20, 40, 50 }, "a"), ExchangeEnd::Complete, 2 },
        EventNumberCase { "CallerResumes", Kind::Resumable, wholeRun({ 1 }), Then::Keep, lastTwo,
            eventTexts({ 3, 4 }, "b"), ExchangeEnd::Complete, 1, resumption },
        EventNumberCase { "CallerResumesWithAGap", Kind::Resumable, wholeRun({ 1 }), Then::Keep,
            wholeRun({ 4, 5 }, "b"), {}, ExchangeEnd::Complete, 2, resumption, 502 },
        EventNumberCase { "CallerResumesFromTheStart", Kind::Resumable, wholeRun({ 1 }), Then::Keep,
            wholeRun({ 1, 2, 3 }, "b"), {}, ExchangeEnd::Complete, 2, resumption, 502 },
        EventNumberCase { "CallerResumesWhereNothingIsResumed", Kind::NotResumable, wholeRun({ 1, 2 }), Then::Keep,
            lastTwo, firstTwo, ExchangeEnd::Complete, 1, resumption }),
    [](const auto& info) { return info.param.name; });

// Guards against a pause that ends a stream although no other endpoint may continue it.
TEST(GatewayEventNumbers, AStreamWithoutNumbersIsNotCutForAPause)
{
    GatewayWorld world;
    const Answer slow { unnumberedRun, Then::Repeat, transport::chunk(unnumbered), std::chrono::milliseconds(1'400) };
    ScriptedEndpoint endpoint(world.context, { slow });
    auto route = streamRoute(Kind::Resumable);
    route.timeout = std::chrono::seconds(6);
    world.serve(route, { &endpoint });
    const auto seen = world.call("a");
    EXPECT_TRUE(runUntil(
        world.context, [&seen] { return seen->body == unnumbered + unnumbered; }, std::chrono::seconds(5)));
    EXPECT_FALSE(seen->end.has_value());
}

// Guards against a stream without its first events, and against a sound endpoint that is given up for one such stream.
TEST(GatewayEventNumbers, AStreamBeginsWhereTheStreamsOfItsServiceBegin)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context,
        { { wholeRun({ 1, 2 }) }, { wholeRun({ 1, 2 }) }, { wholeRun({ 1, 2 }) }, { wholeRun({ 3, 4 }) },
            { wholeRun({ 1, 2 }) } });
    world.serve(streamRoute(Kind::NotResumable), { &endpoint });
    for (const int status : { 200, 200, 200, 502, 200 })
        EXPECT_EQ(world.ask("a")->status, status);
    EXPECT_EQ(endpoint.requests.size(), 5U);
}

// Guards against a turn that is kept without some of its events.
TEST(GatewayEventNumbers, ATurnWithAGapIsNotKept)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(
        world.context, { { run({ 1, 2 }), Then::Repeat, event(4, "a") + std::string(transport::lastChunk), pause } });
    world.serve(streamRoute(Kind::NotResumable, true), { &endpoint });
    const auto seen = world.ask("a", {}, "in");
    EXPECT_EQ(seen->body, firstTwo);
    EXPECT_EQ(*seen->end, ExchangeEnd::Broken);
    EXPECT_TRUE(world.store.rows.empty());
}

// Guards against a turn that holds only the events after the caller's Last-Event-Id.
TEST(GatewayEventNumbers, ATurnIsKeptWholeIfItsCallerResumes)
{
    for (const auto kind : { Kind::Resumable, Kind::NotResumable }) {
        GatewayWorld world;
        ScriptedEndpoint endpoint(
            world.context, { { wholeRun({ 1, 2, 3, 4 }), Then::Keep, {}, {}, lastTwo }, { wholeRun({ 1 }) } });
        world.serve(streamRoute(kind, true), { &endpoint });
        EXPECT_EQ(world.ask("a", resumption, "in ")->body, eventTexts({ 1, 2, 3, 4 }, "a"));
        EXPECT_EQ(world.ask("b", "X-Previous-Turn: a\r\n", "more")->status, 200);
        ASSERT_EQ(endpoint.requests.size(), 2U);
        const auto& next = endpoint.requests.back();
        EXPECT_EQ(next.substr(next.find("\r\n\r\n") + 4), "in a\na\na\na\nmore");
    }
}

// Guards against faulty streams that pass for the numbering of their service, so that later gaps are not noticed.
TEST(GatewayEventNumbers, GapsDontMakeAServiceSparse)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context, { { wholeRun({ 1, 3 }) } });
    ScriptedEndpoint other(world.context, { { wholeRun({ 1, 3 }) } });
    world.serve(streamRoute(Kind::NotResumable), { &endpoint, &other });
    for (int call = 0; call < 8; ++call) {
        const auto seen = world.ask("a" + std::to_string(call));
        EXPECT_FALSE(seen->status == 200 && *seen->end == ExchangeEnd::Complete) << call;
    }
}

// Guards against events of a run that its endpoint denies, followed by those of another run.
TEST(GatewayEventNumbers, EventsOfARefusalAreNotPassedOn)
{
    GatewayWorld world;
    auto refusal = wholeRun({ 1, 2 });
    refusal.insert(refusal.find("X-Response-Signature"), "X-Not-Executed: 1\r\n");
    ScriptedEndpoint first(world.context, { { refusal } });
    ScriptedEndpoint second(world.context, { { refusal } });
    world.serve(streamRoute(Kind::NotResumable), { &first, &second });
    const auto seen = world.ask("a");
    EXPECT_EQ(seen->status, 503);
    EXPECT_EQ(seen->body, "");
    EXPECT_EQ(first.requests.size() + second.requests.size(), 2U);
}

// Guards against tokens that a program pays for although their events were not passed on.
TEST(GatewayEventNumbers, EventsThatAreNotPassedOnDontCount)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context, { { wholeRun({ 1, 3, 4, 5, 6, 7, 8, 9, 10, 11 }) }, { wholeRun({ 1 }) } });
    world.serve(streamRoute(Kind::NotResumable), { &endpoint });
    const std::string budget = "X-Program-Id: p\r\nX-Token-Budget: 24\r\nX-Token-Usage: 10,20\r\n";
    EXPECT_EQ(*world.ask("a", budget)->end, ExchangeEnd::Broken);
    EXPECT_EQ(world.ask("b", budget)->status, 200);
}

} // namespace lagoontiller::tests
