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
        (void)runUntil(world.context, [] { return false; }, pause);
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

} // namespace lagoontiller::tests
