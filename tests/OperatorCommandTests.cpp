#include "command/ApplyCommand.h"
#include "command/HistoryCommand.h"
#include "command/ShowCommand.h"
#include "command/StatusCommand.h"
#include "core/Log.h"
#include "support/EditedText.h"
#include "support/OperatorServer.h"

#include <cstdlib>

namespace lagoontiller::command {

namespace {

using tests::OperatorServer;

using Command = int (*)(int, const char* const*);

struct CommandRun {
    int status = 0;
    std::string output;
    std::string errors;
    [[nodiscard]] bool outputContains(const std::string& text) const
    {
        return this->output.find(text) != std::string::npos;
    }
};

CommandRun run(Command command, const std::vector<std::string>& arguments)
{
    std::vector<const char*> pointers { "command" };
    for (const auto& argument : arguments)
        pointers.push_back(argument.c_str());
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int status = command(static_cast<int>(pointers.size()), pointers.data());
    return { status, testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr() };
}

class OperatorCommands : public testing::Test {
protected:
    OperatorCommands()
    {
        // Log lines of the server would mix with the captured output of the commands.
        core::initialiseLogging(core::LogLevel::Error, "test");
        ::setenv("LAGOONTILLER_OPERATOR_KEY", OperatorServer::key, 1);
    }

    CommandRun apply(const std::string& file, const std::string& base, std::vector<std::string> extraArguments = {})
    {
        std::vector<std::string> arguments { file, "--base", base, "--author", "Anjali", "--node",
            this->server.address };
        arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
        return run(runApply, arguments);
    }

    /// \brief Writes a copy of the small document with one replacement and returns its path.
    static std::string writeEditedDocument(const std::string& from, const std::string& to)
    {
        auto text = support::readText(small);
        text.replace(text.find(from), from.size(), to);
        const auto file = testing::TempDir() + "operator-command-tests.ini";
        std::ofstream(file, std::ios::binary) << text;
        return file;
    }

    CommandRun runOnNode(Command command, std::vector<std::string> extraArguments = {})
    {
        extraArguments.insert(extraArguments.end(), { "--node", this->server.address });
        return run(command, extraArguments);
    }

    static constexpr auto small = TEST_DATA "/documents/small.ini";

    OperatorServer server { { { "node", "entry-1" }, { "document_version", 7 }, { "store_available", true } } };
};

struct Usage {
    Command command;
    std::vector<std::string> arguments;
    int status;
};

class OperatorCommandUsage : public testing::TestWithParam<Usage> { };

} // namespace

// Guards against a version that is reported as accepted although it is not, and against lost text.
TEST_F(OperatorCommands, AppliedDocumentIsShownAndInTheHistory)
{
    EXPECT_EQ(4, this->runOnNode(runShow).status);
    const auto applied = this->apply(small, "0");
    EXPECT_EQ(0, applied.status) << applied.errors;
    EXPECT_TRUE(applied.output.starts_with("accepted as version 1\n"));
    const auto shown = this->runOnNode(runShow);
    EXPECT_EQ(0, shown.status);
    EXPECT_EQ(support::readText(small), shown.output);
    EXPECT_EQ("version 1\n", shown.errors);
    EXPECT_EQ(0, this->apply(writeEditedDocument("name = Small", "name = Renamed"), "1").status);
    const auto history = this->runOnNode(runHistory);
    EXPECT_TRUE(history.outputContains("version 2"));
    EXPECT_TRUE(history.outputContains("changed [deployment] name: Small -> Renamed"));
    const auto json = nlohmann::json::parse(this->runOnNode(runHistory, { "--json" }).output);
    EXPECT_EQ(2, json.at("versions").size());
}

// Guards against scripts that mistake a conflicting update for success, and against a conflict without the differences.
TEST_F(OperatorCommands, ConflictPrintsTheDifferences)
{
    ASSERT_EQ(0, this->apply(small, "0").status);
    ASSERT_EQ(0, this->apply(writeEditedDocument("priority = 6", "priority = 8"), "1").status);
    const auto file = writeEditedDocument("name = Small", "name = Mine");
    const auto lost = this->apply(file, "1");
    EXPECT_EQ(3, lost.status);
    EXPECT_TRUE(lost.outputContains("version 2 by Anjali"));
    EXPECT_TRUE(lost.outputContains("changed [class order] priority: 6 -> 8"));
    EXPECT_TRUE(lost.outputContains("your changes that still fit:\n  changed [deployment] name: Small -> Mine"));
    const auto json = this->apply(file, "1", { "--json" });
    EXPECT_EQ(3, json.status);
    EXPECT_EQ("conflict", nlohmann::json::parse(json.output).at("result"));
}

// Guards against a faulty document that is sent or accepted.
TEST_F(OperatorCommands, FaultsAreListed)
{
    const auto faulty = this->apply(writeEditedDocument("priority = 6", "priority = 60"), "0");
    EXPECT_EQ(2, faulty.status);
    EXPECT_TRUE(faulty.outputContains("[class order] priority"));
    EXPECT_TRUE(faulty.outputContains("1 fault; nothing was accepted"));
    EXPECT_EQ(4, this->runOnNode(runShow).status);
}

// Guards against an accepted version that is reported as failed because the store's reply was lost.
TEST_F(OperatorCommands, LostReplyIsReadBack)
{
    this->server.table.loseReplies(1, true);
    EXPECT_EQ(0, this->apply(small, "0").status);
}

// Guards against a status that cannot be read by people or by scripts.
TEST_F(OperatorCommands, StatusIsPrinted)
{
    const auto status = this->runOnNode(runStatus);
    EXPECT_EQ(0, status.status);
    EXPECT_TRUE(status.outputContains("node entry-1\ndocument version 7\ntable service available\n"));
    EXPECT_EQ(7, nlohmann::json::parse(this->runOnNode(runStatus, { "--json" }).output).at("document_version"));
}

// Guards against a wrong key that is reported as an outage, which would prompt a retry.
TEST_F(OperatorCommands, WrongKeyAndMissingBaseAreUsageErrors)
{
    ::setenv("LAGOONTILLER_OPERATOR_KEY", "operator.wrong", 1);
    const auto refused = this->runOnNode(runStatus);
    EXPECT_EQ(1, refused.status);
    EXPECT_NE(std::string::npos, refused.errors.find("6006 sign_in_refused"));
    EXPECT_EQ(4, this->runOnNode(runStatus, { "--key-file", "/no-such-file" }).status);
    ::unsetenv("LAGOONTILLER_OPERATOR_KEY");
    EXPECT_EQ(1, this->runOnNode(runStatus).status);
    ::setenv("LAGOONTILLER_OPERATOR_KEY", OperatorServer::key, 1);
    EXPECT_EQ(1, this->apply(small, "3").status);
}

// Guards against scripts that mistake a missing argument or an unreachable node for success.
TEST_P(OperatorCommandUsage, ExitStatus)
{
    ::setenv("LAGOONTILLER_OPERATOR_KEY", OperatorServer::key, 1);
    EXPECT_EQ(GetParam().status, run(GetParam().command, GetParam().arguments).status);
}

INSTANTIATE_TEST_SUITE_P(Table, OperatorCommandUsage,
    testing::Values(Usage { runShow, {}, 1 }, Usage { runShow, { "--node", "host.example:80" }, 1 },
        Usage { runHistory, { "--node" }, 1 }, Usage { runStatus, { "--help" }, 0 },
        Usage { runApply, { "--base", "1", "--author", "a", "--node", "127.0.0.1:1" }, 1 },
        Usage { runApply, { "f", "--base", "x", "--author", "a", "--node", "127.0.0.1:1" }, 1 },
        Usage { runApply, { "f", "--base", "1", "--node", "127.0.0.1:1" }, 1 },
        Usage { runApply, { "/no-such-file", "--base", "1", "--author", "a", "--node", "127.0.0.1:1" }, 4 },
        Usage { runShow, { "--node", "127.0.0.1:1" }, 4 }, Usage { runHistory, { "--node", "127.0.0.1:1" }, 4 },
        Usage { runStatus, { "--node", "127.0.0.1:1" }, 4 }));

} // namespace lagoontiller::command
