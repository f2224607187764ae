// Program state built from log records. Guards against lost and repeated records, and against records that are applied
// to the wrong program.
#include "state/ProgramStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lagoontiller::state {
namespace {

records::Entry entryOf(const std::string& customer, const std::string& program)
{
    records::Entry entry;
    entry.set_partition(3);
    entry.set_epoch(7);
    entry.set_customer(customer);
    entry.set_program(program);
    return entry;
}

/// \brief Draws names from a small set, so that records repeat and affect the same objects.
records::Entry arbitraryEntry()
{
    auto entry = entryOf(*rc::gen::element<std::string>("c1", "c2"), *rc::gen::element<std::string>("a", "a~s", "ab"));
    const auto number = *rc::gen::inRange<std::uint32_t>(1, 4);
    const auto name = std::to_string(*rc::gen::inRange(1, 4));
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        entry.mutable_program_opened()->set_document_version(number);
        break;
    case 1:
        entry.mutable_budget_reserved()->set_total_tokens(number * 100);
        break;
    case 2:
        entry.mutable_endpoint_used()->set_endpoint("e" + name);
        break;
    case 3:
        entry.mutable_turn_finished()->set_turn(number);
        entry.mutable_turn_finished()->set_answer(name);
        entry.mutable_turn_finished()->mutable_usage()->set_prompt_tokens(number);
        break;
    case 4:
        entry.mutable_call_intent()->set_key("k" + name);
        entry.mutable_call_intent()->set_request_id("r" + std::to_string(number));
        break;
    case 5:
        entry.mutable_call_finished()->set_key("k" + name);
        entry.mutable_call_finished()->set_request_id("r" + std::to_string(number));
        entry.mutable_call_finished()->set_not_run(*rc::gen::arbitrary<bool>());
        entry.mutable_call_finished()->set_outcome_unknown(*rc::gen::arbitrary<bool>());
        break;
    case 6:
        entry.mutable_program_ended()->add_endpoints("e" + name);
        break;
    default:
        entry.mutable_release_confirmed()->set_endpoint("e" + name);
    }
    return entry;
}

ProgramStore fold(const std::vector<records::Entry>& entries)
{
    ProgramStore store;
    for (const auto& entry : entries) {
        store.apply(entry);
    }
    return store;
}

std::vector<records::Entry> arbitraryEntries()
{
    std::vector<records::Entry> entries;
    const auto count = *rc::gen::inRange(0, 40);
    for (int number = 0; number < count; ++number) {
        entries.push_back(arbitraryEntry());
    }
    return entries;
}

RC_GTEST_PROP(ProgramHistory, SnapshotRebuildsTheSameState, ())
{
    const auto store = fold(arbitraryEntries());
    RC_ASSERT(fold(store.snapshotEntries(3, 7)) == store);
}

RC_GTEST_PROP(ProgramHistory, RepeatedRecordChangesNothing, ())
{
    auto entries = arbitraryEntries();
    auto store = fold(entries);
    if (!entries.empty()) {
        const auto before = store;
        store.apply(entries.back());
        RC_ASSERT(store == before);
    }
}

RC_GTEST_PROP(ProgramHistory, CustomersAreIndependent, ())
{
    const auto entries = arbitraryEntries();
    const auto both = fold(entries);
    for (const std::string customer : { "c1", "c2" }) {
        ProgramStore alone;
        for (const auto& entry : entries) {
            if (entry.customer() == customer) {
                alone.apply(entry);
            }
        }
        for (const std::string program : { "a", "a~s", "ab" }) {
            const auto* left = both.find({ customer, program });
            const auto* right = alone.find({ customer, program });
            RC_ASSERT((left == nullptr) == (right == nullptr));
            RC_ASSERT((left == nullptr || *left == *right));
            RC_ASSERT(both.budgetOf({ customer, program }) == alone.budgetOf({ customer, program }));
        }
    }
}

RC_GTEST_PROP(ProgramHistory, ForgettingAllEndedTreesFreesTheMemory, ())
{
    auto store = fold(arbitraryEntries());
    for (const std::string customer : { "c1", "c2" }) {
        for (const std::string program : { "a", "a~s", "ab" }) {
            auto end = entryOf(customer, program);
            end.mutable_program_ended();
            store.apply(end);
            const auto open = store.find({ customer, program })->openReleases;
            for (const auto& endpoint : open) {
                auto confirmed = entryOf(customer, program);
                confirmed.mutable_release_confirmed()->set_endpoint(endpoint);
                store.apply(confirmed);
            }
        }
        RC_ASSERT(store.removeTree({ customer, "a" }));
        RC_ASSERT(store.find({ customer, "ab" }) != nullptr);
        RC_ASSERT(store.removeTree({ customer, "ab" }));
    }
    RC_ASSERT(store == ProgramStore());
    RC_ASSERT(store.memoryBytes() == 0U);
}

TEST(ProgramHistory, BudgetSumsTheRootAndItsSubAgents)
{
    ProgramStore store;
    for (const std::string program : { "a", "a~x", "a~x~y", "b" }) {
        auto entry = entryOf("c", program);
        entry.mutable_turn_finished()->set_turn(1);
        entry.mutable_turn_finished()->mutable_usage()->set_prompt_tokens(10);
        entry.mutable_turn_finished()->mutable_usage()->set_completion_tokens(5);
        entry.mutable_turn_finished()->mutable_usage()->set_cached_tokens(9);
        store.apply(entry);
    }
    EXPECT_EQ(store.budgetOf({ "c", "a~x" }), (RootBudget { 0, 45, 3, 0 }));
}

TEST(ProgramHistory, EndpointUsedAfterTheEndOpensARelease)
{
    ProgramStore store;
    auto end = entryOf("c", "a");
    end.mutable_program_ended();
    store.apply(end);
    auto used = entryOf("c", "a");
    used.mutable_endpoint_used()->set_endpoint("e1");
    store.apply(used);
    EXPECT_EQ(store.find({ "c", "a" })->openReleases, std::set<std::string> { "e1" });
    EXPECT_FALSE(store.removeTree({ "c", "a" }));
}

} // namespace
} // namespace lagoontiller::state
