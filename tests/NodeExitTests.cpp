// Guards against nodes that never exit after SIGTERM, and against nodes that exit before they hand over partitions that
// another node could take.

#include "control/Controller.h"
#include "control/Overloaded.h"
#include "tests/support/FakeStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using namespace std::chrono_literals;
using control::Member;

constexpr core::TimePoint start {};

/// \brief One controller with an in-memory store that completes operations before the next tick.
class DrainingNode {
public:
    DrainingNode()
        : controller(settings(), this->metrics, start)
    {
    }

    void run(const std::vector<Member>& members, bool drain, core::Duration length)
    {
        this->handle(control::MembersChanged { members });
        if (drain)
            this->handle(control::DrainRequested {});
        for (const auto end = this->now + length; this->now < end; this->now += 10ms) {
            this->store.run(this->now);
            this->handle(control::Tick {});
        }
    }

    [[nodiscard]] std::size_t served() const { return this->controller.state().durable.servedPartitions().size(); }

    bool drained = false;

private:
    static control::ControllerSettings settings()
    {
        control::ControllerSettings result;
        result.node = "a";
        result.region = "r";
        result.runId = "a-1";
        result.partitionCount = 4;
        result.regions = { "r" };
        return result;
    }

    void handle(const control::Event& event)
    {
        for (auto& effect : this->controller.handle(event, this->now, 0)) {
            this->drained = this->drained || std::holds_alternative<control::DrainFinished>(effect);
            if (const auto* operation = std::get_if<control::StoreOperation>(&effect))
                std::visit([&](const auto& each) { this->submit(operation->client, each); }, operation->operation);
        }
    }

    void submit(control::StoreClient, const state::DeleteObject&) { }

    template <typename Operation> void submit(control::StoreClient client, const Operation& operation)
    {
        const auto id = operation.operation;
        this->store.submit(
            operation,
            [this, client, id](const FakeStore::Reply& reply) {
                std::visit(control::Overloaded {
                               [&](const state::TransactionResult& result) {
                                   this->handle(control::TransactionReplied { client, id, result });
                               },
                               [&](const state::WriteResult& result) {
                                   this->handle(control::ObjectWritten { client, id, result });
                               },
                               [&](const state::RowResult& result) {
                                   this->handle(control::RowReplied { client, id, result });
                               },
                               [&](const state::RowsResult& result) {
                                   this->handle(control::RowsReplied { id, result });
                               },
                               [&](const state::ObjectResult& result) {
                                   this->handle(control::ObjectReplied { id, result });
                               },
                           },
                    reply);
            },
            this->now);
    }

    core::TimePoint now = start;
    core::MetricRegistry metrics;
    FakeStore store { 1 };
    control::Controller controller;
};

Member member(const std::string& name, bool leaving)
{
    return { name, "", "z", "r", leaving };
}

struct DrainCase {
    std::string name;
    std::vector<Member> others;
};

class Drain : public testing::TestWithParam<DrainCase> { };

TEST_P(Drain, EndsTheNode)
{
    DrainingNode node;
    node.run({ member("a", false) }, false, 20s);
    ASSERT_EQ(node.served(), 4U);
    ASSERT_FALSE(node.drained);
    auto members = this->GetParam().others;
    members.push_back(member("a", true));
    node.run(members, true, 20s);
    EXPECT_TRUE(node.drained);
}

INSTANTIATE_TEST_SUITE_P(Table, Drain,
    testing::Values(DrainCase { "Alone", {} }, DrainCase { "AllLeave", { member("b", true), member("c", true) } },
        DrainCase { "AnotherStays", { member("b", false) } }),
    [](const auto& info) { return info.param.name; });

TEST(NodeExit, HandsPartitionsOverBeforeTheNodeEnds)
{
    DrainingNode node;
    node.run({ member("a", false) }, false, 20s);
    node.run({ member("a", true), member("b", false) }, true, 20s);
    EXPECT_TRUE(node.drained);
    EXPECT_EQ(node.served(), 0U);
}

} // namespace

} // namespace lagoontiller::tests
