// Which route a call takes, and how an event stream is cut into events.

#include "gateway/EventStreamParser.h"
#include "gateway/RouteTable.h"

#include <gtest/gtest.h>

namespace lagoontiller::gateway {

namespace {

struct PathCase {
    std::string path;
    std::string route;
};

class RouteOfPath : public testing::TestWithParam<PathCase> { };

Route routeTo(const std::string& prefix)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.pathPrefix = prefix;
    route.services = { { "s", 1 } };
    return route;
}

} // namespace

// Guards against a call that runs at the service of a shorter or merely similar prefix.
TEST_P(RouteOfPath, IsTheLongestPrefix)
{
    const RouteTable table({ routeTo("/"), routeTo("/a/"), routeTo("/a/b/") });
    const auto route = table.find("h", GetParam().path);
    EXPECT_EQ(route ? route->name : "none", GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(Cases, RouteOfPath,
    testing::Values(PathCase { "/", "/" }, PathCase { "/a", "/" }, PathCase { "/a/", "/a/" },
        PathCase { "/a/x", "/a/" }, PathCase { "/a/b", "/a/" }, PathCase { "/a/b/c/d", "/a/b/" },
        PathCase { "/ab/c", "/" }, PathCase { "", "none" }));

TEST(RouteTable, KnowsOnlyItsHosts)
{
    const RouteTable table({ routeTo("/") });
    EXPECT_EQ(table.find("other", "/"), nullptr);
}

// Guards against a distribution of calls that does not follow the weights.
TEST(RouteTable, DividesCallsByWeight)
{
    auto route = routeTo("/");
    route.services = { { "s", 90 }, { "t", 10 } };
    int second = 0;
    constexpr int calls = 10'000;
    for (int call = 0; call < calls; ++call) {
        const auto key = static_cast<std::uint64_t>(call) * (~std::uint64_t { 0 } / calls);
        second += chooseService(route, key) == "t" ? 1 : 0;
    }
    EXPECT_NEAR(second, calls / 10, calls / 100);
}

// Guards against events that are forwarded before they are complete, or lost at the boundary of two reads.
TEST(EventReader, SplitsEventsForAnyChunkSize)
{
    const std::string bytes = "weight-versions: 3\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\nid: 3\nda";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        EventStreamParser reader;
        std::vector<StreamEvent> events;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            for (auto& event : reader.feed(std::string_view(bytes).substr(at, piece)))
                events.push_back(std::move(event));
        }
        ASSERT_EQ(events.size(), 2U);
        EXPECT_EQ(events[0].data, "a\nb");
        EXPECT_EQ(events[0].id, 1U);
        EXPECT_EQ(events[1].data, "c");
        EXPECT_TRUE(reader.hasPartialEvent());
    }
}

} // namespace lagoontiller::gateway
