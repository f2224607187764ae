#include "standins/EngineStandin.h"
#include "standins/EntryStandin.h"
#include "standins/HttpClient.h"
#include "standins/PlainStandins.h"
#include "standins/ReplayProgram.h"
#include "standins/StoreStandins.h"

#include "bench/fakes/EngineText.h"
#include "bench/fakes/Trace.h"

#include <future>

namespace lagoontiller::standins {

namespace {

using nlohmann::json;

/// \brief Runs stand-ins on system-assigned ports in one thread.
class Runner {
public:
    ~Runner()
    {
        this->loop.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    template <typename Kind, typename... Arguments> std::string add(Arguments&&... arguments)
    {
        auto standin = std::make_unique<Kind>(
            this->loop, "test", "127.0.0.1:0", core::Duration(0), std::forward<Arguments>(arguments)...);
        standin->start();
        this->standins.push_back(std::move(standin));
        return "127.0.0.1:" + std::to_string(this->standins.back()->port());
    }

    void run()
    {
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ClientResponse post(const std::string& address, const std::string& target, const json& body)
    {
        return this->client.send({ "POST", address, target, {}, body.dump() });
    }

    ClientResponse get(const std::string& address, const std::string& target)
    {
        return this->client.send({ "GET", address, target, {}, "" });
    }

private:
    Loop loop;
    std::vector<std::unique_ptr<Standin>> standins;
    std::thread thread;
    HttpClient client;
};

} // namespace

// Guards against a simulated lost reply that also drops the write: recovery by reading back would then be untested.
TEST(Standins, LoseReplyAppliesTheTransaction)
{
    Runner runner;
    const auto table = runner.add<TableStandin>();
    runner.run();
    EXPECT_EQ(runner.post(table, "/control", { { "fault", "lose_reply" }, { "count", 1 } }).status, 200);
    const json transaction { { "token", "t" }, { "conditions", { { { "key", "a" }, { "version", 0 } } } },
        { "puts", { { { "key", "a" }, { "value", "aGVq" } } } } };
    const auto lost = runner.post(table, "/v1/transactions", transaction);
    EXPECT_FALSE(lost.complete);
    EXPECT_EQ(lost.status, 0);
    const auto row = json::parse(runner.get(table, "/v1/rows?key=a").body);
    EXPECT_EQ(row["value"], "aGVq");
    EXPECT_EQ(runner.post(table, "/v1/transactions", transaction).status, 409);
    const auto counters = json::parse(runner.get(table, "/control").body);
    EXPECT_EQ(counters["writes"], 2);
    EXPECT_EQ(counters["conditional_failures"], 1);
    EXPECT_EQ(counters["reads"], 1);
}

// Guards against a simulated lost reply of a service that skips the call or executes it twice.
TEST(Standins, LoseReplyExecutesTheCallOnce)
{
    Runner runner;
    const auto service = runner.add<ServiceStandin>();
    runner.run();
    (void)runner.post(service, "/control", { { "fault", "lose_reply" }, { "count", 1 } });
    EXPECT_FALSE(runner.post(service, "/v1/charges", { { "order", 1 } }).complete);
    EXPECT_EQ(json::parse(runner.get(service, "/ledger").body)["calls"].size(), 1U);
}

// Guards against a simulated crash that affects only the triggering request, or after which the stand-in does not
// restart.
TEST(Standins, CrashOnTextResetsConnectionsAndComesBack)
{
    Runner runner;
    const auto service = runner.add<ServiceStandin>();
    runner.run();
    (void)runner.post(service, "/control", { { "fault", "crash_on" }, { "text", "poison" }, { "ms", 200 } });
    EXPECT_FALSE(runner.post(service, "/v1/any", { { "text", "poison" } }).complete);
    EXPECT_FALSE(runner.get(service, "/ledger").complete);
    bool back = false;
    for (int attempt = 0; attempt < 200 && !back; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        back = runner.get(service, "/ledger").complete;
    }
    EXPECT_TRUE(back);
}

// Guards against a streamed answer that differs from the non-streamed one or from the documented rule.
TEST(Standins, EngineStreamsTheStatedText)
{
    Runner runner;
    KvExports exports;
    const auto engine = runner.add<EngineStandin>(fakes::EngineSettings {}, 1'000'000U, exports);
    runner.run();
    json request { { "messages", { { { "role", "user" }, { "content", "flick test" } } } }, { "stream", true } };
    const auto expected = fakes::answerText(request["messages"], 0);
    const auto streamed = fakes::parseStream(runner.post(engine, "/v1/chat/completions", request).body);
    ASSERT_TRUE(streamed.has_value());
    EXPECT_EQ(streamed->text, expected);
    EXPECT_TRUE(streamed->hasUsage);
    request["stream"] = false;
    const auto whole = fakes::parseCompletion(runner.post(engine, "/v1/chat/completions", request).body);
    ASSERT_TRUE(whole.has_value());
    EXPECT_EQ(whole->text, expected);
}

// Guards against a caller that repeats a call whose reply was lost, or that abandons a program although another entry
// node has the stored turn.
TEST(Standins, ReplayRecoversFromLostReplies)
{
    Runner runner;
    const auto model = std::make_shared<fakes::EntryModel>(json::object(), json::object());
    std::vector<std::string> addresses;
    for (int index = 0; index < 2; ++index)
        addresses.push_back(runner.add<EntryStandin>(model, addresses));
    runner.run();
    for (const auto& address : addresses)
        (void)runner.post(address, "/control", { { "fault", "lose_reply" }, { "count", 2 } });
    const json messages { { { "role", "user" }, { "content", "engrave" } } };
    const auto text = fakes::answerText(messages, 0);
    const fakes::TraceProgram program { "p", "c", "k", "r",
        { { fakes::TraceTurn { "m", messages, 0, true, false, text, "" } },
            { fakes::TraceCall { "s", "/v1/engravings", json::object(), false, "key", "" } },
            { fakes::TraceEnd {} } } };
    EntryList entries(addresses);
    const auto result = replayProgram(program, entries, "c.secret", { 1, "n" });
    EXPECT_EQ(result.faults, std::vector<std::string> {});
    EXPECT_EQ(result.turns, 1);
    EXPECT_GT(result.retries, 0);
    ASSERT_EQ(model->ledger().size(), 1U);
    EXPECT_EQ(model->ledger()[0].idempotencyKey, "key-n");
}

} // namespace lagoontiller::standins
