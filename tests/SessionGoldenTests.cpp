#include "tests/support/ControlWorld.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

namespace lagoontiller::tests {

namespace {

using std::chrono::seconds;

const std::string customer = "workshop";
const std::string programId = "east.p1";

/// \brief Replaces names that depend on endpoint selection, time or random numbers by numbers in order of appearance.
class Normaliser {
public:
    std::string operator()(const std::string& text)
    {
        auto result = this->number(text, std::regex(R"(n\d+-r\d+-\d+)"), "request-");
        result = this->number(result, std::regex(R"(127\.0\.0\.1:91\d\d)"), "engine-");
        result = this->number(result, std::regex(R"(127\.0\.0\.1:92\d\d)"), "service-");
        result = std::regex_replace(result, std::regex(R"("created":\d+)"), "\"created\":0");
        return std::regex_replace(result, std::regex(R"([0-9a-f]{32,64})"), "digest");
    }

private:
    std::string number(const std::string& text, const std::regex& pattern, const std::string& name)
    {
        std::string result;
        auto rest = text.cbegin();
        for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
            result.append(rest, text.cbegin() + match->position());
            const auto [position, added] = this->names.try_emplace(match->str(), "");
            if (added)
                position->second = name + std::to_string(++this->counts[name]);
            result += position->second;
            rest = text.cbegin() + match->position() + match->length();
        }
        result.append(rest, text.cend());
        return result;
    }

    std::map<std::string, std::string> names;
    std::map<std::string, int> counts;
};

std::string describe(const records::Entry& entry)
{
    const auto head = "record " + entry.customer() + "/" + entry.program() + " ";
    switch (entry.body_case()) {
    case records::Entry::kProgramOpened:
        return head + "opened class=" + entry.program_opened().program_class();
    case records::Entry::kBudgetReserved:
        return head + "budget_reserved tokens=" + std::to_string(entry.budget_reserved().total_tokens());
    case records::Entry::kEndpointUsed:
        return head + "endpoint_used " + entry.endpoint_used().endpoint();
    case records::Entry::kTurnFinished:
        return head + "turn_finished turn=" + std::to_string(entry.turn_finished().turn())
            + " attempt=" + std::to_string(entry.turn_finished().attempt())
            + " request=" + entry.turn_finished().request_id() + " messages=" + entry.turn_finished().messages();
    case records::Entry::kCallIntent:
        return head + "call_intent key=" + entry.call_intent().key() + " path=" + entry.call_intent().path();
    case records::Entry::kCallFinished:
        return head + "call_finished key=" + entry.call_finished().key()
            + " status=" + std::to_string(entry.call_finished().status()) + " body=" + entry.call_finished().body();
    case records::Entry::kProgramEnded: {
        auto line = head + "ended reason=" + entry.program_ended().reason() + " endpoints=";
        return line + std::to_string(entry.program_ended().endpoints_size());
    }
    case records::Entry::kReleaseConfirmed:
        return head + "release_confirmed " + entry.release_confirmed().endpoint();
    case records::Entry::BODY_NOT_SET:
        break;
    }
    return head + "empty";
}

class Session {
public:
    Session()
        : world(1)
    {
        EXPECT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->world.onEffect = [this](std::size_t, const control::Effect& effect) { this->recordEffect(effect); };
    }

    void sendRequest(const callers::IncomingRequest& request)
    {
        this->line(
            "caller  " + request.method + " " + request.target + this->headersOf(request.headers) + " " + request.body);
        const auto answer = this->world.send(0, request);
        EXPECT_TRUE(this->world.runUntil([&] { return answer->ended; }));
        std::istringstream body(answer->body);
        this->line("answer  " + std::to_string(answer->status) + this->headersOf(answer->headers));
        for (std::string part; std::getline(body, part);) {
            if (!part.empty())
                this->line("        " + part);
        }
        this->world.advance(seconds(1));
    }

    [[nodiscard]] const std::string& text() const { return this->trace; }

    ControlWorld world;

private:
    void line(const std::string& text) { this->trace += this->normalise(text) + "\n"; }

    static std::string headersOf(const http::Headers& headers)
    {
        std::string result;
        for (const auto& header : headers) {
            if (header.name != "Authorization")
                result += " " + header.name + "=" + header.value;
        }
        return result;
    }

    void recordEffect(const control::Effect& effect)
    {
        if (const auto* generate = std::get_if<control::StartGeneration>(&effect)) {
            this->line("engine  generate " + generate->request.endpoint + " " + generate->request.requestId + " "
                + generate->request.cacheKey + " priority=" + std::to_string(generate->request.priority) + " "
                + generate->request.body.dump());
        } else if (const auto* call = std::get_if<control::CallService>(&effect)) {
            this->line("service " + call->request.endpoint + call->request.path + " key=" + call->request.idempotencyKey
                + " " + call->request.body);
        } else if (const auto* release = std::get_if<control::ReleaseCache>(&effect)) {
            this->line("engine  release " + release->endpoint + " " + release->program.program);
        } else if (const auto* cancel = std::get_if<control::CancelGeneration>(&effect)) {
            this->line("engine  cancel " + cancel->endpoint + " " + cancel->requestId);
        } else if (const auto* store = std::get_if<control::StoreOperation>(&effect)) {
            if (const auto* write = std::get_if<state::WriteTransaction>(&store->operation))
                this->recordEffect(write->transaction);
        }
    }

    void recordEffect(const tables::Transaction& transaction)
    {
        for (const auto& put : transaction.puts) {
            if (!state::sequenceOfLogKey(put.key))
                continue;
            const auto row = state::decodeLogRow(put.value);
            records::Batch batch;
            ASSERT_TRUE(row && batch.ParseFromString(row->batch));
            for (const auto& entry : batch.entries())
                this->line("store   " + describe(entry));
        }
    }

    std::string trace;
    Normaliser normalise;
};

void compare(const std::string& name, const std::string& text)
{
    const std::filesystem::path path = std::string(TEST_DATA) + "/sessions/" + name + ".txt";
    if (std::getenv("LAGOONTILLER_REWRITE_SESSIONS") != nullptr) {
        std::filesystem::create_directories(path.parent_path());
        std::ofstream(path) << text;
    }
    std::ifstream file(path);
    ASSERT_TRUE(file) << path << ": set LAGOONTILLER_REWRITE_SESSIONS=1 to write it";
    std::stringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(expected.str(), text);
}

callers::IncomingRequest turn(int number, const std::string& message, const std::string& suffix, bool stream,
    int maximumTokens = 100, const std::string& programClass = "standard")
{
    return turnRequest(customer, message,
        { .program = programId + suffix, .turn = number, .programClass = programClass, .append = true }, stream,
        maximumTokens);
}

callers::IncomingRequest end()
{
    return plainRequest(customer, "POST", "/v1/programs/" + programId + "/end");
}

} // namespace

// Guards against unintended changes of the messages to callers, endpoints and the store for a program with two turns, a
// tool call and a sub-agent.
TEST(SessionGolden, ProgramWithToolCallAndSubAgent)
{
    Session session;
    session.sendRequest(turn(1, "first", "", false));
    session.sendRequest(
        serviceRequest(customer, "/charges/take", "{\"amount\":5}", { .program = programId, .key = "k1" }));
    session.sendRequest(turn(1, "sub", "~helper", true));
    session.sendRequest(turn(2, "second", "", true));
    session.sendRequest(plainRequest(customer, "GET", "/v1/programs/" + programId + "/turns/2"));
    session.sendRequest(plainRequest(customer, "GET", "/v1/calls/k1", { .program = programId }));
    session.sendRequest(plainRequest(customer, "GET", "/v1/programs/" + programId));
    session.sendRequest(end());
    compare("tool-call-and-sub-agent", session.text());
}

// Guards against unintended changes of a refusal due to an exhausted budget and of the program end after it.
TEST(SessionGolden, RefusedBudgetAndEnd)
{
    Session session;
    session.sendRequest(turn(1, "first", "", false, 100, "small"));
    session.sendRequest(turn(2, "second", "", true, 5000, "small"));
    session.sendRequest(end());
    session.sendRequest(turn(2, "second", "", true, 100, "small"));
    compare("refused-budget-and-end", session.text());
}

// Guards against unintended changes of a turn that is resumed on another engine.
TEST(SessionGolden, ResumedTurn)
{
    Session session;
    session.world.endpoints.enginePlans = { { EndpointFate::CrashInStream } };
    session.sendRequest(turn(1, "first", "", true));
    session.sendRequest(end());
    compare("resumed-turn", session.text());
}

} // namespace lagoontiller::tests
