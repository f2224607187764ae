#include "engines/impl/Generation.h"

namespace lagoontiller::engines::impl {

namespace {

struct Collected {
    std::string text;
    int started = 0;
    int finished = 0;
    int failed = 0;
    EngineUsage usage;

    void operator()(const EngineStarted&) { ++this->started; }
    void operator()(const EngineText& event) { this->text += event.text; }
    void operator()(const EngineFinished& event)
    {
        ++this->finished;
        this->usage = event.usage;
    }
    void operator()(const EngineFailed&) { ++this->failed; }
};

/// \brief Feeds an answer in pieces of `piece` bytes and ends it.
Collected receive(const std::string& body, std::size_t piece, int status = 200)
{
    Collected collected;
    Generation generation([&](const EngineEvent& event) { std::visit(collected, event); });
    generation(http::ResponseHead { status, {} });
    for (std::size_t begin = 0; begin < body.size(); begin += piece)
        generation(http::ResponseData { std::string_view(body).substr(begin, piece) });
    generation(http::ResponseEnd {});
    return collected;
}

const std::string text = R"(data: {"choices":[{"delta":{"content":"one"}}]})"
                         "\n\n"
                         R"(data: {"choices":[{"delta":{"content":" two"}}]})"
                         "\r\n\r\n";
const std::string usage = R"(data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"cached_tokens":3}})"
                          "\n\n";
const std::string done = "data: [DONE]\n\n";

class HostileEvents : public testing::TestWithParam<std::string> { };

} // namespace

// Guards against tokens lost or doubled where a chunk of the transport ends inside an event.
TEST(EngineAnswer, IsTheSameForEveryChunkSize)
{
    for (std::size_t piece = 1; piece < 40; ++piece) {
        const auto result = receive(text + usage + done, piece);
        EXPECT_EQ(result.text, "one two");
        EXPECT_EQ(result.usage, (EngineUsage { 7, 2, 3 }));
        EXPECT_EQ(result.finished, 1);
        EXPECT_EQ(result.failed, 0);
    }
}

// Guards against a truncated stream that is accepted as a complete answer.
TEST(EngineAnswer, WithoutItsEndHasFailed)
{
    const auto result = receive(text + usage, 16);
    EXPECT_EQ(result.finished, 0);
    EXPECT_EQ(result.failed, 1);
}

// Guards against an answer with text of a second run: events after the end are no part of it.
TEST(EngineAnswer, EndsWithItsDoneEvent)
{
    for (std::size_t piece = 1; piece < 40; ++piece) {
        const auto result = receive(text + usage + done + text + done, piece);
        EXPECT_EQ(result.text, "one two");
        EXPECT_EQ(result.finished, 1);
    }
}

// Guards against an answer that is complete without its end: the stream is cut at each byte before the end of [DONE].
TEST(EngineAnswer, CutAnywhereHasFailed)
{
    const auto finish = R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}]})"
                        "\n\n";
    const auto whole = text + finish + usage + "data: [DONE]\n";
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const auto result = receive(whole.substr(0, length), 16);
        EXPECT_EQ(result.finished, 0) << length;
        EXPECT_EQ(result.failed, 1) << length;
        EXPECT_TRUE(std::string("one two").starts_with(result.text)) << length;
    }
    EXPECT_EQ(receive(whole, 16).finished, 1);
}

// Guards against a crash of the node on an engine event with a field of an unexpected type.
TEST_P(HostileEvents, AreIgnored)
{
    const auto result = receive(text + "data: " + GetParam() + "\n\n" + usage + done, 16);
    EXPECT_EQ(result.text, "one two");
    EXPECT_EQ(result.finished, 1);
    EXPECT_EQ(result.failed, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, HostileEvents,
    testing::Values("", "{", "[]", "null", R"({"usage":{"prompt_tokens":"many"}})", R"({"usage":{"cached_tokens":[]}})",
        R"({"choices":{}})", R"({"choices":[1]})", R"({"choices":[{"delta":7}]})",
        R"({"choices":[{"delta":{"content":3}}]})",
        R"({"choices":[{"delta":{"tool_calls":{}},"finish_reason":false}]})", "\xff\xfe"));

} // namespace lagoontiller::engines::impl
