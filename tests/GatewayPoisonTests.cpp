// Requests that crash their endpoints, on real sockets: who is refused then, and who is served.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using Then = ScriptedEndpoint::Answer::Then;

struct CallerCase {
    std::string name;
    /// \brief Header lines of the caller whose request crashes two endpoints, and of the one that comes then.
    std::string crashing;
    std::string next;
    int status = 0;
};

class RequestAfterItsCrashes : public testing::TestWithParam<CallerCase> { };

} // namespace

// Guards against refusing a caller because another one's request with the same content crashed endpoints, and against a
// further crash by the same caller.
TEST_P(RequestAfterItsCrashes, IsRefusedOnlyForItsCaller)
{
    GatewayWorld world;
    ScriptedEndpoint first(world.context, std::vector<ScriptedEndpoint::Answer> { { "", Then::Crash } });
    ScriptedEndpoint second(world.context, std::vector<ScriptedEndpoint::Answer> { { "", Then::Crash } });
    ScriptedEndpoint sound(world.context,
        { { "HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\n" + signatureLine + "Content-Length: 2\r\n\r\nok" } });
    gateway::Route route;
    route.name = "r";
    route.maxAttempts = 1;
    world.serve(route, {});
    std::string id;
    for (const auto* crashing : { &first, &second }) {
        world.directory.remove(id, core::monotonicNow());
        id = crashing->address();
        world.directory.upsert({ id, "s", crashing->address(), "z", 4, false, 0, {} }, core::monotonicNow());
        EXPECT_EQ(world.ask("a", GetParam().crashing, "yes")->status, 502);
        EXPECT_TRUE(runUntil(world.context, [&] { return world.store.find({ "losses", "", id }) != nullptr; }));
    }
    world.directory.upsert({ "sound", "s", sound.address(), "z", 4, false, 0, {} }, core::monotonicNow());
    world.directory.remove(id, core::monotonicNow());
    EXPECT_EQ(world.ask("b", GetParam().next, "yes")->status, GetParam().status);
    EXPECT_EQ(sound.requests.size(), GetParam().status == 200 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Cases, RequestAfterItsCrashes,
    testing::Values(CallerCase { "SameAddress", {}, {}, 503 },
        CallerCase { "SameProgram", "X-Program-Id: p\r\n", "X-Program-Id: p\r\n", 503 },
        CallerCase { "AnotherProgram", "X-Program-Id: p\r\n", "X-Program-Id: q\r\n", 200 },
        CallerCase { "AnotherSession", "X-Session-Id: p\r\n", "X-Session-Id: q\r\n", 200 },
        CallerCase { "AnotherTurnOfTheProgram", "X-Program-Id: p\r\nX-Previous-Turn: 1\r\n",
            "X-Program-Id: p\r\nX-Previous-Turn: 2\r\n", 200 }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::tests
