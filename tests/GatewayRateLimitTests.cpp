// Endpoints that state a rate limit in their responses, on real sockets.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;

gateway::Route plainRoute()
{
    gateway::Route route;
    route.name = "r";
    route.kind = gateway::CallKind::Idempotent;
    route.targetLatency = milliseconds(300);
    return route;
}

ScriptedEndpoint::Answer answer(const std::string& head = {})
{
    return { wholeAnswer("{id}", 200, "done", signatureLine + head) };
}

/// \brief Sends `count` calls, one every `pause`, and waits for their responses.
std::vector<std::shared_ptr<Seen>> sendCalls(GatewayWorld& world, int count, milliseconds pause)
{
    std::vector<std::shared_ptr<Seen>> calls;
    for (int number = 0; number < count; ++number) {
        calls.push_back(world.call("c" + std::to_string(number)));
        (void)runUntil(
            world.context, [] { return false; }, pause);
    }
    for (const auto& call : calls)
        EXPECT_TRUE(runUntil(world.context, [&call] { return call->end.has_value(); }));
    return calls;
}

} // namespace

// Guards against an endpoint that gets far more calls than the limit that it stated.
TEST(GatewayRateLimit, AnEndpointGetsNoMoreCallsThanItStates)
{
    GatewayWorld world;
    ScriptedEndpoint limited(world.context, { answer("Server-Limit: 2.0\r\n") });
    ScriptedEndpoint other(world.context, { answer() });
    world.serve(plainRoute(), { &limited, &other });
    // The calls arrive within four seconds, in which the endpoint may get one and a half times its limit and five more.
    for (const auto& call : sendCalls(world, 70, milliseconds(50)))
        EXPECT_EQ(call->status, 200);
    EXPECT_LE(limited.requests.size(), 4 * 2 * 3 / 2 + 5U);
    EXPECT_EQ(limited.requests.size() + other.requests.size(), 70U);
}

// Guards against callers that wait for their deadline although no endpoint accepts their call before it.
TEST(GatewayRateLimit, RefusesAtOnceWithATimeToReturn)
{
    GatewayWorld world;
    ScriptedEndpoint limited(world.context, { answer("Server-Limit: 0.5\r\n") });
    world.serve(plainRoute(), { &limited });
    EXPECT_EQ(world.ask("first")->status, 200);
    const auto before = core::monotonicNow();
    double previous = 0;
    for (const std::string id : { "a", "b", "c" }) {
        const auto refused = world.ask(id);
        EXPECT_EQ(refused->status, 503);
        const auto retryAfter = std::stod(std::string(refused->fields.find("Retry-After").value_or("0")));
        EXPECT_GT(retryAfter, previous);
        previous = retryAfter;
    }
    EXPECT_LT(core::monotonicNow() - before, milliseconds(500));
    EXPECT_EQ(limited.requests.size(), 1U);
}

// Guards against a refusal of calls that the endpoint accepts within their objective.
TEST(GatewayRateLimit, WaitsForAnEndpointThatAcceptsTheCallSoon)
{
    GatewayWorld world;
    ScriptedEndpoint limited(world.context, { answer("Server-Limit: 10\r\n") });
    world.serve(plainRoute(), { &limited });
    for (const std::string id : { "a", "b", "c", "d" })
        EXPECT_EQ(world.ask(id)->status, 200);
}

// Guards against a limit that stays after the endpoint no longer states it.
TEST(GatewayRateLimit, EndsWhenTheEndpointNoLongerStatesIt)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context, { answer("Server-Limit: 5\r\n"), answer() });
    world.serve(plainRoute(), { &endpoint });
    EXPECT_EQ(world.ask("a")->status, 200);
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(250));
    EXPECT_EQ(world.ask("b")->status, 200);
    for (const auto& call : sendCalls(world, 30, milliseconds(2)))
        EXPECT_EQ(call->status, 200);
}

} // namespace lagoontiller::tests
