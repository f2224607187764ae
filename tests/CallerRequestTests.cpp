#include "callers/CallerOperation.h"

namespace lagoontiller::callers {

namespace {

using core::ResultCode;

struct RefusedRequest {
    std::string name;
    IncomingRequest request;
    ResultCode code;
};

IncomingRequest chat(const std::string& body, http::Headers headers = {})
{
    return { "POST", "/v1/chat/completions", std::move(headers), body, "127.0.0.1" };
}

const std::string good = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";

std::vector<RefusedRequest> refusedRequests()
{
    const auto text
        = [](const std::string& rest) { return R"({"model":"m","messages":[{"role":"user"}])" + rest + "}"; };
    return {
        { "MalformedJson", chat("{"), ResultCode::MalformedJson },
        { "EmptyBody", chat(""), ResultCode::MalformedJson },
        { "BadUtf8", chat("{\"model\":\"\xff\"}"), ResultCode::InvalidUtf8 },
        { "Overlong", chat("{\"model\":\"\xc0\xaf\"}"), ResultCode::InvalidUtf8 },
        { "NotAnObject", chat("[]"), ResultCode::InvalidField },
        { "NoModel", chat(R"({"messages":[{"role":"user"}]})"), ResultCode::MissingField },
        { "ModelNotText", chat(R"({"model":1,"messages":[{"role":"user"}]})"), ResultCode::MissingField },
        { "NoMessages", chat(R"({"model":"m"})"), ResultCode::MissingField },
        { "EmptyMessages", chat(R"({"model":"m","messages":[]})"), ResultCode::InvalidField },
        { "MessageWithoutRole", chat(R"({"model":"m","messages":[{}]})"), ResultCode::InvalidField },
        { "NegativeTokens", chat(text(R"(,"max_tokens":-1)")), ResultCode::InvalidField },
        { "ZeroTokens", chat(text(R"(,"max_tokens":0)")), ResultCode::InvalidField },
        { "FractionalTokens", chat(text(R"(,"max_tokens":1.5)")), ResultCode::InvalidField },
        { "HugeTokens", chat(text(R"(,"max_tokens":99999999999)")), ResultCode::InvalidField },
        { "StreamNotBoolean", chat(text(R"(,"stream":"yes")")), ResultCode::InvalidField },
        { "TurnZero", chat(good, { { "X-Turn", "0" } }), ResultCode::InvalidField },
        { "TurnNegative", chat(good, { { "X-Turn", "-1" } }), ResultCode::InvalidField },
        { "TurnWithText", chat(good, { { "X-Turn", "1a" } }), ResultCode::InvalidField },
        { "ProgramWithSlash", chat(good, { { "X-Program-Id", "a/b" } }), ResultCode::InvalidField },
        { "ParentWithoutProgram", chat(good, { { "X-Parent-Program-Id", "a" } }), ResultCode::MissingField },
        { "RepeatableNotBoolean", chat(good, { { "X-Repeatable", "maybe" } }), ResultCode::InvalidField },
        { "UnknownHistory", chat(good, { { "X-History", "some" } }), ResultCode::InvalidField },
        { "BodyTooLarge", chat(std::string(2000, ' ')), ResultCode::BodyTooLarge },
        { "UnknownPath", { "POST", "/v2/x", {}, "", "" }, ResultCode::UnknownPath },
        { "WrongMethod", { "GET", "/v1/chat/completions", {}, "", "" }, ResultCode::UnknownPath },
        { "ServiceWithoutPath", { "POST", "/v1/services/records", {}, "", "" }, ResultCode::UnknownPath },
        { "ServiceMalformedJson", { "POST", "/v1/services/records/file", {}, "{", "" }, ResultCode::MalformedJson },
        { "TurnPathNotNumber", { "GET", "/v1/programs/p/turns/x", {}, "", "" }, ResultCode::InvalidField },
        { "ProgramBadEscape", { "GET", "/v1/programs/%zz", {}, "", "" }, ResultCode::InvalidField },
    };
}

class RefusedRequests : public testing::TestWithParam<RefusedRequest> { };

} // namespace

// Guards against a faulty request that reaches state or an endpoint instead of a numbered "not run" refusal.
TEST_P(RefusedRequests, HaveTheirCodeAndAreNotRun)
{
    ParserLimits limits;
    limits.maxBodyBytes = 1000;
    const auto result = parseOperation(GetParam().request, limits);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().code, GetParam().code) << result.error().message;
    EXPECT_EQ(result.error().ran, core::RunState::NotRun);
    EXPECT_FALSE(result.error().message.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusedRequests, testing::ValuesIn(refusedRequests()), [](const auto& info) { return info.param.name; });

// Guards against a sub-agent that is assigned to a different partition, and so a different budget, than its root.
TEST(CallerRequest, ChildProgramCarriesItsParentsId)
{
    const auto result
        = parseOperation(chat(good, { { "X-Program-Id", "helper" }, { "X-Parent-Program-Id", "root" } }), {});
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(programOf(*result), "root~helper");
    const auto again
        = parseOperation(chat(good, { { "X-Program-Id", "root~helper" }, { "X-Parent-Program-Id", "root" } }), {});
    EXPECT_EQ(programOf(*again), "root~helper");
}

// Guards against a conflict when the same turn is requested again as a stream.
TEST(CallerRequest, DigestIgnoresStreamAndNothingElse)
{
    const auto digest
        = [](const std::string& body) { return std::get<ModelCall>(*parseOperation(chat(body), {})).digest; };
    EXPECT_EQ(digest(good), digest(R"({"stream":true,"model":"m","messages":[{"role":"user","content":"x"}]})"));
    EXPECT_NE(digest(good), digest(R"({"model":"m","messages":[{"role":"user","content":"y"}]})"));
    EXPECT_NE(digest(good), digest(R"({"model":"m","max_tokens":5,"messages":[{"role":"user","content":"x"}]})"));
}

// Guards against a crash on malformed requests.
RC_GTEST_PROP(CallerRequest, AnyBytesAreParsedOrRefused,
    (const std::string& method, const std::string& target, const std::string& body))
{
    for (const auto& path :
        { target, "/v1/programs/" + target, "/v1/services/" + target, std::string("/v1/chat/completions") }) {
        for (const auto& verb : { method, std::string("POST"), std::string("GET") }) {
            const auto result = parseOperation({ verb, path, { { "X-Program-Id", target } }, body, "" }, {});
            if (!result)
                RC_ASSERT(result.error().ran == core::RunState::NotRun);
        }
    }
}

} // namespace lagoontiller::callers
