#include "command/CheckCommand.h"
#include "command/HashKeyCommand.h"
#include "document/KeyHash.h"
#include "support/EditedText.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace lagoontiller::command {

namespace {

struct Run {
    int status = 0;
    std::string output;
    std::string errors;
};

Run run(int (*command)(int, const char* const*), std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "command");
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int status = command(static_cast<int>(arguments.size()), arguments.data());
    return { status, testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr() };
}

struct Session {
    std::vector<const char*> arguments;
    int status;
    std::string lastLine;
};

class CheckCommand : public testing::TestWithParam<Session> { };

std::string lastLine(std::string text)
{
    if (!text.empty())
        text.pop_back();
    return text.substr(text.rfind('\n') + 1);
}

const std::string tryHelp = "Try \"lagoontiller check --help\".";

} // namespace

// Guards against an exit status or last line by which a script treats a faulty or unreadable file as accepted.
TEST_P(CheckCommand, ExitStatusAndLastLine)
{
    const auto result = run(runCheck, GetParam().arguments);
    EXPECT_EQ(GetParam().status, result.status);
    EXPECT_EQ(GetParam().lastLine, lastLine(result.output + result.errors));
}

INSTANTIATE_TEST_SUITE_P(Table, CheckCommand,
    testing::Values(
        Session { { REPOSITORY "/examples/nilavilakku.ini" }, 0, REPOSITORY "/examples/nilavilakku.ini: no faults" },
        Session {
            { "--settings", REPOSITORY "/examples/settings.ini" }, 0, REPOSITORY "/examples/settings.ini: no faults" },
        Session { { REPOSITORY "/examples/settings.ini" }, 2, REPOSITORY "/examples/settings.ini: 13 faults" },
        Session { { REPOSITORY "/no-such-file" }, 4, "lagoontiller check: cannot read " REPOSITORY "/no-such-file" },
        Session { { REPOSITORY }, 4, "lagoontiller check: cannot read " REPOSITORY }, Session { {}, 1, tryHelp },
        Session { { "a", "b" }, 1, tryHelp }, Session { { "--fast", "a" }, 1, tryHelp },
        Session { { "--help" }, 0, "  -h, --help      Show this help" }));

// Guards against JSON output that the console cannot parse.
TEST(CheckCommand, JsonListsEveryFault)
{
    const auto result = run(runCheck, { "--json", REPOSITORY "/examples/settings.ini" });
    const auto json = nlohmann::json::parse(result.output);
    EXPECT_EQ(2, result.status);
    ASSERT_EQ(13, json.at("faults").size());
    const nlohmann::json expected { { "line", 30 }, { "column", 1 }, { "section", "deployment" },
        { "key", "partitions" }, { "problem", "unknown key" }, { "allowed", "name, currency" }, { "hint", "" } };
    EXPECT_EQ(expected, json.at("faults").at(9));
}

// Guards against a printed hash and salt that do not match the key, and against output that contains the key itself.
TEST(HashKeyCommand, PrintsLinesThatMatchTheNewKey)
{
    const auto result = run(runHashKey, { "--customer", "workshop" });
    EXPECT_EQ(0, result.status);
    const auto key = result.errors.substr(5, result.errors.size() - 6);
    EXPECT_TRUE(key.starts_with("workshop."));
    EXPECT_EQ(std::string::npos, result.output.find(key.substr(9)));
    const document::KeyHash hash { result.output.substr(11, 32), result.output.substr(55, 64) };
    EXPECT_EQ("key_salt = " + hash.salt + "\nkey_hash = " + hash.hash + '\n', result.output);
    EXPECT_TRUE(document::matchesKey(hash, key));
}

// Guards against hashing a key of another customer, which a lookup by customer name could never find.
TEST(HashKeyCommand, RefusesKeysOfOtherCustomersAndBadNames)
{
    std::istringstream input("workshop.secret\n");
    auto* const original = std::cin.rdbuf(input.rdbuf());
    EXPECT_EQ(1, run(runHashKey, { "--stdin", "--customer", "office" }).status);
    std::cin.rdbuf(original);
    EXPECT_EQ(1, run(runHashKey, { "--customer", "work.shop" }).status);
    EXPECT_EQ(1, run(runHashKey, { "--customer", "" }).status);
}

} // namespace lagoontiller::command
