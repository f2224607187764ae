// The numbers of a stream's events: which event continues the stream, and when another run may.

#include "gateway/EventSequence.h"

#include <gtest/gtest.h>

namespace lagoontiller::gateway {

namespace {

enum class Known : int {
    Nothing,
    Consecutive,
    Sparse,
};

struct SequenceCase {
    std::string name;
    /// \brief Bytes of the runs; each ends where its endpoint failed.
    std::vector<std::string> runs;
    EventOrder last = EventOrder::InOrder;
    bool canBeResumed = true;
    std::optional<std::uint64_t> resumedAfter {};
    Known service = Known::Nothing;
};

void PrintTo(const SequenceCase& sequence, std::ostream* stream)
{
    *stream << sequence.name;
}

/// \brief Events with the numbers.
std::string run(const std::vector<std::uint64_t>& numbers)
{
    std::string bytes;
    for (const auto number : numbers)
        bytes += "id: " + std::to_string(number) + "\ndata: x\n\n";
    return bytes;
}

EventNumbering numberingOf(Known service)
{
    EventNumbering numbering;
    for (int stream = 0; service != Known::Nothing && stream < 3; ++stream)
        numbering.observe(service == Known::Consecutive);
    return numbering;
}

const std::string unnumbered = "data: x\n\n";

class EventOrders : public testing::TestWithParam<SequenceCase> { };

} // namespace

// Guards against events that are missing, come twice or belong to another run and that nobody notices.
TEST_P(EventOrders, AreJudgedByNumber)
{
    const auto& sequence = GetParam();
    const auto numbering = numberingOf(sequence.service);
    EventSequence events(sequence.resumedAfter);
    std::vector<EventOrder> orders;
    for (const auto& bytes : sequence.runs) {
        events.beginRun();
        EventStreamParser parser;
        for (const auto& event : parser.feed(bytes))
            orders.push_back(events.accept(event, numbering));
    }
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.back(), sequence.last);
    orders.pop_back();
    for (const auto order : orders)
        EXPECT_EQ(order, EventOrder::InOrder);
    EXPECT_EQ(events.canBeResumed(), sequence.canBeResumed);
}

INSTANTIATE_TEST_SUITE_P(Cases, EventOrders,
    testing::Values(SequenceCase { "ByOne", { run({ 1, 2, 3 }) } }, SequenceCase { "FromZero", { run({ 0, 1, 2 }) } },
        SequenceCase { "FromAnywhere", { run({ 7, 8, 9 }) } },
        SequenceCase { "GapAfterTheFirst", { run({ 1, 3 }) }, EventOrder::Missing },
        SequenceCase { "GapMidway", { run({ 1, 2, 4 }) }, EventOrder::Missing },
        SequenceCase { "GapAfterAStepOfOne", { run({ 7, 8, 10 }) }, EventOrder::Missing },
        SequenceCase { "Twice", { run({ 1, 2, 2 }) }, EventOrder::Repeated },
        SequenceCase { "Falling", { run({ 1, 2, 1 }) }, EventOrder::Repeated },
        SequenceCase { "Sparse", { run({ 10, 20, 30 }) } },
        SequenceCase { "SparseWithAStepOfOne", { run({ 10, 20, 21, 30 }) } },
        SequenceCase { "SparseTwice", { run({ 10, 20, 20 }) }, EventOrder::Repeated },
        SequenceCase { "SparseFalling", { run({ 10, 20, 10 }) }, EventOrder::Repeated },
        SequenceCase { "Resumed", { run({ 1, 2 }), run({ 3, 4 }) } },
        SequenceCase { "ResumedTwice", { run({ 1 }), run({ 2 }), run({ 3 }) } },
        SequenceCase { "ResumedWithAGap", { run({ 1, 2 }), run({ 4 }) }, EventOrder::Missing },
        SequenceCase { "ResumedFromTheStart", { run({ 1, 2 }), run({ 1 }) }, EventOrder::Repeated },
        SequenceCase { "ResumedAtTheLast", { run({ 1, 2 }), run({ 2 }) }, EventOrder::Repeated },
        SequenceCase { "ResumedAfterOneNumber", { run({ 7 }), run({ 9 }) }, EventOrder::Missing },
        SequenceCase { "ResumedSparse", { run({ 10, 20 }), run({ 40 }) } },
        SequenceCase { "ResumedSparseFromTheStart", { run({ 10, 20 }), run({ 10 }) }, EventOrder::Repeated },
        SequenceCase { "ResumedWithoutNumber", { run({ 1, 2 }), unnumbered }, EventOrder::Unnumbered },
        SequenceCase { "AgainAfterAFailureWithoutEvents", { "", run({ 1, 2 }) } },
        SequenceCase { "Comments", { ": x\n\n" + run({ 1 }) + ": x\n\n" + run({ 2 }), ": x\n\n" + run({ 3 }) } },
        SequenceCase { "WithoutNumbers", { unnumbered + unnumbered }, EventOrder::InOrder, false },
        SequenceCase { "OneWithoutNumber", { run({ 1 }) + unnumbered + run({ 2 }) }, EventOrder::InOrder, false },
        SequenceCase { "OneWithoutItsNumber", { run({ 1 }) + unnumbered + run({ 3 }) }, EventOrder::Missing, false },
        SequenceCase { "NoNumber", { "id: a\ndata: x\n\n" }, EventOrder::InOrder, false },
        SequenceCase { "NumberWithMore", { run({ 1 }) + "id: 2a\ndata: x\n\n" }, EventOrder::InOrder, false },
        SequenceCase { "NumberTooLarge", { "id: 99999999999999999999\ndata: x\n\n" }, EventOrder::InOrder, false },
        SequenceCase { "CallerResumes", { run({ 3, 4 }) }, EventOrder::InOrder, true, 2 },
        SequenceCase { "CallerResumesWithAGap", { run({ 4 }) }, EventOrder::Missing, true, 2 },
        SequenceCase { "CallerResumesFromTheStart", { run({ 1 }) }, EventOrder::Repeated, true, 2 },
        SequenceCase { "CallerResumesWithoutNumber", { unnumbered }, EventOrder::Unnumbered, true, 2 },
        SequenceCase { "CallerResumesSparse", { run({ 40, 50 }) }, EventOrder::InOrder, true, 20, Known::Sparse },
        SequenceCase { "BeginsLate", { run({ 3 }) }, EventOrder::Missing, true, std::nullopt, Known::Consecutive },
        SequenceCase { "ServiceByOne", { run({ 0, 1 }) }, EventOrder::InOrder, true, std::nullopt, Known::Consecutive },
        SequenceCase {
            "SparseFromZero", { run({ 0, 10, 20 }) }, EventOrder::InOrder, true, std::nullopt, Known::Sparse },
        SequenceCase {
            "ByOneAtASparseService", { run({ 1, 2, 4 }) }, EventOrder::Missing, true, std::nullopt, Known::Sparse },
        SequenceCase { "ResumedByOneAtASparseService", { run({ 1, 2 }), run({ 4 }) }, EventOrder::Missing, true,
            std::nullopt, Known::Sparse },
        SequenceCase { "TimeStamps", { run({ 50, 51, 60 }) }, EventOrder::InOrder, true, std::nullopt, Known::Sparse }),
    [](const auto& info) { return info.param.name; });

// Guards against one irregular stream that changes how all streams of its service are judged, and against a service
// whose changed numbering is never accepted.
TEST(EventNumbering, FollowsSeveralStreams)
{
    EventNumbering numbering;
    numbering.observe(true);
    EXPECT_FALSE(numbering.isConsecutive());
    for (int stream = 0; stream < 100; ++stream)
        numbering.observe(true);
    numbering.observe(false);
    EXPECT_TRUE(numbering.isConsecutive());
    for (int stream = 0; stream < 11; ++stream)
        numbering.observe(false);
    EXPECT_TRUE(numbering.isSparse());
}

} // namespace lagoontiller::gateway
