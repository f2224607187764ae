// Which software versions of a service count as in service, by the rows that all nodes share.

#include "gateway/ServiceVersions.h"
#include "proto/gateway.pb.h"
#include "support/FakeRowStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;

struct MissingCase {
    std::string name;
    milliseconds missingFor {};
    std::set<std::string> listed;
};

void PrintTo(const MissingCase& missing, std::ostream* stream)
{
    *stream << missing.name;
}

class MissingVersion : public testing::TestWithParam<MissingCase> { };

} // namespace

// Guards against a node that goes on with streams of a version that other nodes have taken off the list: they would
// resume these streams at the versions that remain.
TEST(ServiceVersions, AVersionThatIsStillInViewIsListedAgain)
{
    asio::io_context context;
    FakeRowStore store(context);
    gateway::StoreHealth storeHealth;
    gateway::ServiceVersions first(store, storeHealth);
    gateway::ServiceVersions second(store, storeHealth);
    const auto now = core::monotonicNow();
    second.update("s", { "v1", "v2" }, now);
    ASSERT_TRUE(runUntil(context, [&second] { return second.listed("s").size() == 2; }));
    // The entries of the other version are missing in the view of one node only.
    first.update("s", { "v2" }, now - milliseconds(11'000));
    (void)runUntil(
        context, [] { return false; }, milliseconds(20));
    first.update("s", { "v2" }, now - milliseconds(11'000));
    first.update("s", { "v2" }, core::monotonicNow());
    ASSERT_TRUE(runUntil(context, [&first] { return first.listed("s") == std::set<std::string> { "v2" }; }));
    second.update("s", { "v1", "v2" }, core::monotonicNow() + milliseconds(5'000));
    (void)runUntil(
        context, [] { return false; }, milliseconds(50));
    std::optional<gateway::ServiceVersions::Candidates> candidates;
    first.inServiceWithin("s", milliseconds(0), [&candidates](auto found) { candidates = std::move(found); });
    ASSERT_TRUE(runUntil(context, [&candidates] { return candidates.has_value(); }));
    EXPECT_EQ(**candidates, (std::set<std::string> { "v1", "v2" }));
}

// Guards against a version that counts as gone while its endpoints are missing for a short time only.
TEST_P(MissingVersion, IsGoneAfterAWhile)
{
    asio::io_context context;
    FakeRowStore store(context);
    gateway::StoreHealth storeHealth;
    gateway::ServiceVersions versions(store, storeHealth);
    versions.update("s", { "v1", "v2" }, core::monotonicNow() - milliseconds(20'000));
    ASSERT_TRUE(runUntil(context, [&versions] { return versions.listed("s").size() == 2; }));
    const auto now = core::monotonicNow();
    versions.update("s", { "v2" }, now - GetParam().missingFor);
    versions.update("s", { "v2" }, now);
    (void)runUntil(
        context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(versions.listed("s"), GetParam().listed);
    EXPECT_EQ(store.writes, GetParam().listed.size() == 2 ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(Cases, MissingVersion,
    testing::Values(MissingCase { "Shortly", milliseconds(9'000), { "v1", "v2" } },
        MissingCase { "ForTenSeconds", milliseconds(10'000), { "v2" } }),
    [](const auto& info) { return info.param.name; });

// Guards against a stream that is resumed at another version because one node missed the version that began it, while
// streams still begin there.
TEST(ServiceVersions, AVersionInViewCountsAlthoughItsRowSaysThatItHasLeft)
{
    asio::io_context context;
    FakeRowStore store(context);
    store.now = 1'000'000;
    gateway::StoreHealth storeHealth;
    gateway::ServiceVersions versions(store, storeHealth);
    versions.update("s", { "v1", "v2" }, core::monotonicNow());
    ASSERT_TRUE(runUntil(context, [&versions] { return versions.listed("s").size() == 2; }));
    gateway::wire::ServiceVersionsRecord record;
    for (const auto& [version, goneAtMs] : std::map<std::string, std::uint64_t> { { "v1", 900'000 }, { "v2", 0 } }) {
        record.add_versions()->set_version(version);
        record.mutable_versions()->rbegin()->set_gone_at_ms(goneAtMs);
    }
    store.put({ gateway::ServiceVersions::table, "", "s" }, record.SerializeAsString());
    std::optional<gateway::ServiceVersions::Candidates> candidates;
    versions.inServiceWithin("s", std::chrono::seconds(10), [&candidates](auto found) { candidates = found; });
    ASSERT_TRUE(runUntil(context, [&candidates] { return candidates.has_value(); }));
    EXPECT_EQ(*candidates, (std::set<std::string> { "v1", "v2" }));
}

} // namespace lagoontiller::tests
