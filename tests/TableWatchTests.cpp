// What a node believes of the rows of a table while the store is away, forgets its history or shows old lists.

#include "gateway/TableWatch.h"
#include "support/FakeRowStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

class WatchWorld {
public:
    WatchWorld()
        : store(this->context)
        , observed(this->store, this->contact)
        , watch(this->context, this->observed, this->contact, "servers",
              { [this](const gateway::Row& row) { this->known[row.key.key] = row.value; },
                  [this](const std::string& key) { this->known.erase(key); } })
    {
    }

    bool until(const std::function<bool()>& done, std::chrono::milliseconds most = std::chrono::seconds(5))
    {
        return runUntil(this->context, done, most);
    }

    asio::io_context context;
    FakeRowStore store;
    gateway::StoreHealth contact;
    gateway::ObservedStore observed;
    std::map<std::string, std::string> known;
    gateway::TableWatch watch;
};

const gateway::RowKey first { "servers", "", "i-1" };
const gateway::RowKey second { "servers", "", "i-2" };

} // namespace

TEST(TableWatch, FollowsChangesAndRemovals)
{
    WatchWorld world;
    world.store.put(first, "a");
    world.watch.start();
    ASSERT_TRUE(world.until([&world] { return world.known.size() == 1; }));
    world.store.put(second, "b");
    ASSERT_TRUE(world.until([&world] { return world.known.size() == 2; }));
    world.store.remove(first);
    EXPECT_TRUE(world.until([&world] { return !world.known.contains("i-1"); }, std::chrono::milliseconds(500)));
}

// Guards against losing endpoints whose entries lapsed while the store was away and are back soon after.
TEST(TableWatch, KeepsLapsedEntriesForTwoSecondsAfterTheStoreReturns)
{
    WatchWorld world;
    world.store.put(first, "a");
    world.store.put(second, "b");
    world.watch.start();
    ASSERT_TRUE(world.until([&world] { return world.known.size() == 2; }));
    world.store.fault = StoreFault::Down;
    world.store.breakWatches(gateway::StoreFailure::NotDone);
    (void)world.until([] { return false; }, std::chrono::milliseconds(300));
    world.store.remove(first);
    world.store.remove(second);
    world.store.fault = StoreFault::None;
    (void)world.until([] { return false; }, std::chrono::milliseconds(1'000));
    EXPECT_EQ(world.known.size(), 2U);
    world.store.put(first, "a");
    // The entry that is still missing is gone; the other one stays.
    EXPECT_TRUE(world.until([&world] { return !world.known.contains("i-2"); }, std::chrono::milliseconds(3'000)));
    (void)world.until([] { return false; }, std::chrono::milliseconds(500));
    EXPECT_TRUE(world.known.contains("i-1"));
}

// Guards against a node that stays with old rows after the store has dropped its history.
TEST(TableWatch, ListsAgainWhenTheHistoryIsGone)
{
    WatchWorld world;
    world.store.put(first, "a");
    world.watch.start();
    ASSERT_TRUE(world.until([&world] { return world.known.size() == 1; }));
    world.store.breakWatches(gateway::StoreFailure::HistoryGone);
    world.store.put(second, "b");
    world.store.forgetHistory();
    EXPECT_TRUE(world.until([&world] { return world.known.size() == 2; }));
}

// Guards against going back to older rows when a list is behind.
TEST(TableWatch, IgnoresAListOlderThanWhatIsKnown)
{
    WatchWorld world;
    world.store.put(first, "new");
    world.watch.start();
    ASSERT_TRUE(world.until([&world] { return world.known.size() == 1; }));
    auto old = world.store.rows;
    world.store.breakWatches(gateway::StoreFailure::HistoryGone);
    world.store.staleVersion = 0;
    world.store.rows.clear();
    (void)world.until([] { return false; }, std::chrono::milliseconds(600));
    EXPECT_EQ(world.known["i-1"], "new");
}

} // namespace lagoontiller::tests
