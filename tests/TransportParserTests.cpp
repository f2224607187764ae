// Parsing of requests with ambiguous framing and of messages that arrive in several segments.

#include "transport/Parser.h"

#include <fstream>
#include <gtest/gtest.h>
#include <optional>

namespace lagoontiller::transport {

namespace {

struct RequestCase {
    std::string name;
    std::string bytes;
    ParserState state = ParserState::Malformed;
    std::string body;
};

void PrintTo(const RequestCase& request, std::ostream* stream)
{
    *stream << request.name;
}

class RequestFraming : public testing::TestWithParam<RequestCase> { };

constexpr ParserLimits limits { 256, 64 };

} // namespace

// Guards against request smuggling: two parsers must not find different ends of a request.
TEST_P(RequestFraming, IsUnambiguousOrRejected)
{
    Parser parser(Parser::Kind::Request, limits);
    (void)parser.feed(GetParam().bytes);
    EXPECT_EQ(parser.state(), GetParam().state);
    if (GetParam().state == ParserState::Complete)
        EXPECT_EQ(parser.takeRequest().body, GetParam().body);
}

// Guards against a parser whose result depends on how the bytes were segmented in transit.
TEST_P(RequestFraming, IsIndependentOfSegmentation)
{
    Parser parser(Parser::Kind::Request, limits);
    for (const char byte : GetParam().bytes)
        (void)parser.feed(std::string_view(&byte, 1));
    EXPECT_EQ(parser.state(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(Cases, RequestFraming,
    testing::Values(RequestCase { "Plain", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ParserState::Complete, "" },
        RequestCase { "Length", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", ParserState::Complete, "ab" },
        RequestCase { "Chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            ParserState::Complete, "ab" },
        RequestCase { "ChunkedWithTrailer",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Request-Id: evil\r\n\r\n",
            ParserState::Complete, "ab" },
        RequestCase { "Unfinished", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", ParserState::Incomplete, "" },
        RequestCase { "TwoLengths", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab" },
        RequestCase { "SameLengthTwice", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab" },
        RequestCase {
            "LengthAndChunked", "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        RequestCase { "UnknownCoding", "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
        RequestCase { "ChunkedNotLast", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" },
        RequestCase { "NegativeLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" },
        RequestCase { "SpaceBeforeColon", "POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab" },
        RequestCase { "BadChunkSize", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n" },
        RequestCase { "NotHttp", "hello there\r\n\r\n" },
        RequestCase { "HeaderTooLarge", "GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), ParserState::HeaderTooLarge },
        RequestCase { "BodyTooLarge", "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'),
            ParserState::BodyTooLarge }),
    [](const auto& info) { return info.param.name; });

// Guards against losing the second of two pipelined requests that arrive in one packet.
TEST(TransportParser, StopsAtTheEndOfARequest)
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    Parser parser(Parser::Kind::Request, limits);
    EXPECT_EQ(parser.feed(first + "GET /2 HTTP/1.1\r\n\r\n"), first.size());
    EXPECT_EQ(parser.takeRequest().target, "/1");
    parser.reset();
    (void)parser.feed("GET /2 HTTP/1.1\r\n\r\n");
    EXPECT_EQ(parser.takeRequest().target, "/2");
}

// Guards against mistaking an interim response for the final one.
TEST(TransportParser, SkipsInterimResponses)
{
    Parser parser(Parser::Kind::Response, limits);
    std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    while (!bytes.empty() && parser.state() == ParserState::Incomplete)
        bytes.erase(0, parser.feed(bytes));
    EXPECT_EQ(parser.status(), 200);
    EXPECT_EQ(parser.takeBody(), "x");
}

namespace {

/// \brief Response bytes, and what the parser must make of them.
struct ResponseCase {
    std::string name;
    std::string bytes;
    ParserState state = ParserState::Complete;
    int status = 200;
    std::string body;
    /// \brief Bytes behind the message, which belong to no request.
    std::size_t surplus = 0;
};

void PrintTo(const ResponseCase& response, std::ostream* stream)
{
    *stream << response.name;
}

class ResponseFraming : public testing::TestWithParam<ResponseCase> { };

const std::string finalResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

std::string repeated(const std::string& text, int count)
{
    std::string result;
    for (int index = 0; index < count; ++index)
        result += text;
    return result;
}

} // namespace

// Guards against a body that is read behind a response that has none, and against input without end that is not
// counted.
TEST_P(ResponseFraming, EndsWhereItsStatusAndFieldsSay)
{
    const auto& response = GetParam();
    Parser parser(Parser::Kind::Response, limits);
    std::string_view bytes = response.bytes;
    while (!bytes.empty() && parser.state() == ParserState::Incomplete) {
        const auto used = parser.feed(bytes.substr(0, 7));
        bytes.remove_prefix(used);
    }
    EXPECT_EQ(parser.state(), response.state);
    if (response.state != ParserState::Complete)
        return;
    EXPECT_EQ(parser.status(), response.status);
    EXPECT_EQ(parser.takeBody(), response.body);
    EXPECT_EQ(bytes.size(), response.surplus);
}

INSTANTIATE_TEST_SUITE_P(Cases, ResponseFraming,
    testing::Values(ResponseCase { "Plain", finalResponse, ParserState::Complete, 200, "x", 0 },
        ResponseCase {
            "BodyBehind204", "HTTP/1.1 204 N\r\nContent-Length: 3\r\n\r\nabc", ParserState::Complete, 204, "", 3 },
        ResponseCase { "ChunksBehind204", "HTTP/1.1 204 N\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            ParserState::Complete, 204, "", 8 },
        ResponseCase { "LengthOfAnUnmodifiedResource", "HTTP/1.1 304 N\r\nContent-Length: 9\r\n\r\n",
            ParserState::Complete, 304, "", 0 },
        ResponseCase { "InterimWithLength", "HTTP/1.1 100 C\r\nContent-Length: 3\r\n\r\n" + finalResponse,
            ParserState::Complete, 200, "x", 0 },
        ResponseCase { "InterimWithoutEnd", repeated("HTTP/1.1 100 C\r\n\r\n", 40), ParserState::HeaderTooLarge },
        ResponseCase {
            "HeadWithoutEnd", "HTTP/1.1 200 OK\r\n" + repeated("X: y\r\n", 100), ParserState::HeaderTooLarge },
        ResponseCase { "ChunkSizeWithoutEnd",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(800, '1'), ParserState::Malformed },
        ResponseCase { "ChunkExtensionWithoutEnd",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(800, 'e'), ParserState::Malformed },
        ResponseCase { "TrailerWithoutEnd",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("X: y\r\n", 200),
            ParserState::Malformed },
        ResponseCase { "ManySmallChunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + repeated("1\r\na\r\n", 60) + "0\r\n\r\n",
            ParserState::Complete, 200, std::string(60, 'a'), 0 }),
    [](const auto& info) { return info.param.name; });

namespace {

/// \brief A message that is exactly at a limit when its head may have `limitedBytes`.
struct LimitCase {
    std::string name;
    Parser::Kind kind = Parser::Kind::Response;
    std::string bytes;
    /// \brief Result when the message is above the limit.
    ParserState above = ParserState::HeaderTooLarge;
};

void PrintTo(const LimitCase& message, std::ostream* stream)
{
    *stream << message.name;
}

class SegmentedLimit : public testing::TestWithParam<LimitCase> { };

/// \brief Feeds the bytes in two segments, the first of `first` bytes, or one by one when `first` is 0.
ParserState stateAfter(const LimitCase& message, ParserLimits messageLimits, std::size_t first)
{
    Parser parser(message.kind, messageLimits);
    std::string_view bytes = message.bytes;
    auto size = std::max<std::size_t>(first, 1);
    while (!bytes.empty() && parser.state() == ParserState::Incomplete) {
        bytes.remove_prefix(parser.feed(bytes.substr(0, size)));
        size = first == 0 ? 1 : bytes.size();
    }
    return parser.state();
}

/// \brief Pads the text with `character` behind `padBehind` until it has `size` bytes.
std::string padded(std::string text, const std::string& padBehind, std::size_t size, char character)
{
    text.insert(text.find(padBehind) + padBehind.size(), std::string(size - text.size(), character));
    return text;
}

constexpr std::size_t limitedBytes = 200;
constexpr std::size_t framingLimit = 2 * limitedBytes;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a limit that a message passes when its end arrives in the segment in which it began: a head of 1,025
// bytes passed a limit of 1,024, and chunk extensions were only checked against the body that followed them.
TEST_P(SegmentedLimit, HoldsForEverySegmentation)
{
    const auto& message = GetParam();
    for (const std::size_t limit : { limitedBytes, limitedBytes - 1 }) {
        const auto expected = limit == limitedBytes ? ParserState::Complete : message.above;
        for (std::size_t first = 0; first <= message.bytes.size(); ++first)
            EXPECT_EQ(stateAfter(message, { limit, 64 }, first), expected) << limit << " bytes, cut at " << first;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, SegmentedLimit,
    testing::Values(LimitCase { "RequestHead", Parser::Kind::Request,
                        padded("GET / HTTP/1.1\r\nX: \r\n\r\n", "X: ", limitedBytes, 'x') },
        LimitCase { "RequestHeadBeforeABody", Parser::Kind::Request,
            padded("POST / HTTP/1.1\r\nContent-Length: 2\r\nX: \r\n\r\n", "X: ", limitedBytes, 'x') + "ab" },
        LimitCase {
            "RequestTarget", Parser::Kind::Request, padded("GET / HTTP/1.1\r\n\r\n", "GET /", limitedBytes, 'x') },
        LimitCase {
            "ResponseHead", Parser::Kind::Response, padded("HTTP/1.1 204 N\r\nX: \r\n\r\n", "X: ", limitedBytes, 'x') },
        LimitCase { "HeadBehindInterimResponse", Parser::Kind::Response,
            padded("HTTP/1.1 103 E\r\nX: y\r\n\r\nHTTP/1.1 204 N\r\nY: \r\n\r\n", "Y: ", limitedBytes, 'x') },
        LimitCase { "ExtensionBeforeABodyThatAllowsIt", Parser::Kind::Response,
            padded(chunkedHead + "20;\r\n", "20;", framingLimit, 'e') + std::string(32, 'a') + "\r\n0\r\n\r\n",
            ParserState::Malformed },
        LimitCase { "Trailer", Parser::Kind::Response,
            padded(chunkedHead + "0\r\nX: \r\n\r\n", "X: ", framingLimit, 'x'), ParserState::Malformed }),
    [](const auto& info) { return info.param.name; });

// Guards against the return of the input that the fuzz target found: a head of 1,025 bytes in one segment.
TEST(TransportParser, RejectsTheFoundHeadForEverySegmentation)
{
    std::ifstream file(REPOSITORY "/tests/fuzz/findings/ResponseFuzz-head-limit", std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    ASSERT_GT(bytes.size(), 1'025U);
    // The status line of the input has a code of two digits, which is rejected before the limit is reached.
    const std::string_view foundLine = "HTTP/1.1 20 ";
    ASSERT_EQ(bytes.substr(0, foundLine.size()), foundLine);
    const LimitCase found { "Found", Parser::Kind::Response, bytes };
    const LimitCase message { "WithInterimCode", Parser::Kind::Response,
        "HTTP/1.1 102" + bytes.substr(foundLine.size()) };
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        EXPECT_EQ(stateAfter(found, { 1'024, 1'024 }, first), ParserState::Malformed) << "cut at " << first;
        EXPECT_EQ(stateAfter(message, { 1'024, 1'024 }, first), ParserState::HeaderTooLarge) << "cut at " << first;
    }
}

namespace {

struct CutResponseCase {
    std::string name;
    std::string bytes;
    /// \brief Length of the shortest part that an orderly close may complete; empty if only the whole response may be.
    std::optional<std::size_t> closeCompletesFrom {};
    bool headRequest = false;
};

void PrintTo(const CutResponseCase& response, std::ostream* stream)
{
    *stream << response.name;
}

class CutResponseBytes : public testing::TestWithParam<CutResponseCase> { };

const std::string unframedHead = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";

} // namespace

// Guards against a response that is complete although it was cut, at whatever byte: only a head without length and
// chunks leaves the end to the close, and that framing tells the reader that the end is not proven.
TEST_P(CutResponseBytes, AreCompleteOnlyAtTheirEnd)
{
    const auto& response = GetParam();
    for (std::size_t size = 0; size <= response.bytes.size(); ++size) {
        Parser parser(Parser::Kind::Response, limits);
        parser.setHeadRequest(response.headRequest);
        std::string_view bytes(response.bytes.data(), size);
        while (!bytes.empty() && parser.state() == ParserState::Incomplete)
            bytes.remove_prefix(parser.feed(bytes));
        const bool provenBefore = parser.state() == ParserState::Complete;
        EXPECT_EQ(provenBefore, !response.closeCompletesFrom && size == response.bytes.size()) << size;
        parser.finish();
        const bool completed = !provenBefore && parser.state() == ParserState::Complete;
        EXPECT_EQ(completed, response.closeCompletesFrom && size >= *response.closeCompletesFrom) << size;
        EXPECT_EQ(completed, parser.state() == ParserState::Complete && parser.framing() == Framing::UntilClose)
            << size;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, CutResponseBytes,
    testing::Values(CutResponseCase { "Length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\ntwelve bytes" },
        CutResponseCase { "LengthZero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
        CutResponseCase { "Chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;e=1\r\n0123456789abcdef\r\n1\r\na\r\n0\r\nX: "
            "y\r\n\r\n" },
        CutResponseCase { "Interim", "HTTP/1.1 103 E\r\nX: y\r\n\r\n" + finalResponse },
        CutResponseCase {
            "UnframedBehindInterim", "HTTP/1.1 103 E\r\n\r\n" + unframedHead + "body", 18 + unframedHead.size() },
        CutResponseCase { "Unframed", unframedHead + "body", unframedHead.size() },
        CutResponseCase { "UnframedOfAnOldServer", "HTTP/1.0 200 OK\r\nX: y\r\n\r\nbody", unframedHead.size() },
        CutResponseCase { "NoContent", "HTTP/1.1 204 N\r\nX: y\r\n\r\n" },
        CutResponseCase { "NotModified", "HTTP/1.1 304 N\r\nX: y\r\n\r\n" },
        CutResponseCase { "HeadRequest", unframedHead, std::nullopt, true },
        CutResponseCase {
            "HeadRequestWithLength", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", std::nullopt, true }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::transport
