#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string customer = "workshop";
const core::ProgramKey program { customer, "east.p1" };

class OwnerChange : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->owner = this->world.ownerOf(program);
        this->entry = (this->owner + 1) % this->world.size();
    }

    ControlWorld world;
    std::size_t owner = 0;
    std::size_t entry = 0;
};

} // namespace

// Guards against a partition that no node serves after its handover: a caller waits at most 10 s for an owner.
TEST_F(OwnerChange, HandedOverPartitionIsServedWithinSeconds)
{
    this->world.pause(this->owner);
    this->world.advance(seconds(10));
    ASSERT_TRUE(this->world.settle());
    // The nodes that took the partitions hand them back to the resumed node.
    this->world.resume(this->owner);
    this->world.advance(seconds(2));
    EXPECT_TRUE(this->world.settle(seconds(8)));
}

// Guards against a call count that restarts at zero at a new owner for calls without a key, whose results are not
// recorded.
TEST_F(OwnerChange, CallsWithoutKeySurviveATakeover)
{
    const auto send = [&] {
        return this->world.send(this->entry,
            serviceRequest(customer, "/stock", "{}", { .program = program.program, .programClass = "small" }));
    };
    const auto one = send();
    const auto two = send();
    this->world.advance(seconds(3));
    EXPECT_EQ(200, one->status);
    EXPECT_EQ(200, two->status);
    this->world.kill(this->owner);
    ASSERT_TRUE(this->world.settle());
    this->world.advance(seconds(3));
    const auto three = send();
    this->world.advance(seconds(5));
    EXPECT_EQ("program_limit_reached", three->code()) << three->body;
}

} // namespace lagoontiller::tests
