#include "command/ApplyCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/NodeClient.h"
#include "command/ReadFile.h"
#include "document/Check.h"
#include "document/FaultJson.h"
#include "document/IniText.h"

#include <charconv>
#include <iostream>
#include <optional>

namespace lagoontiller::command {

namespace {

using nlohmann::json;

std::optional<std::uint64_t> versionOf(const std::string& text)
{
    std::uint64_t version = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc() && rest == text.data() + text.size() ? std::optional(version) : std::nullopt;
}

document::Fault faultOf(const json& each)
{
    return { each.value("line", 0), each.value("column", 0), textField(each, "section"), textField(each, "key"),
        textField(each, "problem"), textField(each, "allowed"), textField(each, "hint") };
}

void printChanges(const json& answer, const char* key)
{
    for (const auto& change : answer.value(key, json::array()))
        std::cout << "  " << formatChange(change) << '\n';
}

/// \brief One run of the command after its arguments were read.
class Application {
public:
    Application(const cxxopts::Options& options, const cxxopts::ParseResult& parsed, const NodeAccess& access,
        std::uint64_t base)
        : options(options)
        , file(parsed["file"].as<std::string>())
        , author(parsed["author"].as<std::string>())
        , base(base)
        , asJson(parsed.count("json") > 0)
        , node(access.address, access.key)
    {
    }

    int run()
    {
        const auto text = readFile(this->file, document::maxTextBytes);
        if (!text)
            return reportError(this->options, text.error());
        if (const auto faults = document::check(*text); !faults.empty())
            return this->reportFaults(json::parse(document::toJson(faults).dump()));
        const auto answer = this->node.post(
            "/v1/document", { { "text", *text }, { "author", this->author }, { "base", this->base } });
        if (!answer && answer.error().ran == core::RunState::MayHaveRun)
            return this->readBack(*text, answer.error());
        if (!answer)
            return reportError(this->options, answer.error());
        return this->report(*answer);
    }

private:
    int report(const NodeAnswer& answer)
    {
        const auto result = textField(answer.body, "result");
        if (result == "faults")
            return this->reportFaults(answer.body.value("faults", json::array()));
        if (result == "conflict")
            return this->reportConflict(answer.body);
        if (result != "accepted")
            return reportRefusal(this->options, answer);
        if (this->asJson) {
            printJson(answer.body);
        } else {
            std::cout << "accepted as version " << answer.body.value("version", 0) << '\n';
            printChanges(answer.body, "changes");
        }
        return ExitStatus::Success;
    }

    [[nodiscard]] int reportFaults(const json& faults) const
    {
        if (this->asJson) {
            printJson({ { "result", "faults" }, { "file", this->file }, { "faults", faults } });
        } else {
            for (const auto& each : faults)
                std::cout << document::format(faultOf(each), this->file) << '\n';
            std::cout << this->file << ": " << faults.size() << (faults.size() == 1 ? " fault" : " faults")
                      << "; nothing was accepted\n";
        }
        return ExitStatus::FaultsFound;
    }

    [[nodiscard]] int reportConflict(const json& answer) const
    {
        if (this->asJson) {
            printJson(answer);
            return ExitStatus::Conflict;
        }
        std::cout << "conflict: version " << answer.value("current_version", 0) << " by "
                  << textField(answer, "current_author") << " was accepted after version " << this->base
                  << "; nothing of " << this->file << " was accepted\nits changes:\n";
        printChanges(answer, "winner");
        std::cout << "your changes that still fit:\n";
        printChanges(answer, "kept");
        std::cout << "your changes that do not fit:\n";
        for (const auto& conflict : answer.value("conflicts", json::array()))
            std::cout << "  " << textField(conflict, "mine") << "  (theirs: " << textField(conflict, "theirs") << ")\n";
        std::cout << "Get the present document with \"lagoontiller show\", add your changes and apply it with --base "
                  << answer.value("current_version", 0) << "; --json prints the merged text.\n";
        return ExitStatus::Conflict;
    }

    // The answer was lost, not necessarily the acceptance.
    int readBack(const std::string& text, const core::Error& error)
    {
        const auto answer = this->node.get("/v1/document");
        const auto version = answer && answer->status == 200 ? answer->body.value("version", std::uint64_t(0)) : 0;
        if (version == this->base + 1 && textField(answer->body, "text") == text) {
            if (this->asJson)
                printJson({ { "result", "accepted" }, { "version", version } });
            else
                std::cout << "accepted as version " << version << " (the reply was lost; read back)\n";
            return ExitStatus::Success;
        }
        std::cerr << this->options.program() << ": " << error.message
                  << "\nIt is not known whether the document was accepted. Look at \"lagoontiller history\" before "
                     "applying again.\n";
        return ExitStatus::Unavailable;
    }

    const cxxopts::Options& options;
    std::string file;
    std::string author;
    std::uint64_t base;
    bool asJson;
    NodeClient node;
};

} // namespace

int runApply(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller apply", "Check a document and accept it as the next version (- for stdin)");
    options.add_options()("file", "Document to accept", cxxopts::value<std::string>())("base",
        "Version that the file was made from; 0 for the first document",
        cxxopts::value<std::string>())("author", "Name for the history", cxxopts::value<std::string>());
    addNodeOptions(options);
    options.parse_positional("file");
    options.positional_help("FILE");
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("file") != 1)
        return usageError(options, "give one file");
    const auto base = parsed.count("base") == 1 ? versionOf(parsed["base"].as<std::string>()) : std::nullopt;
    if (!base)
        return usageError(options, "give the number of the version that the file was made from with --base");
    if (parsed.count("author") != 1 || parsed["author"].as<std::string>().empty())
        return usageError(options, "give your name with --author");
    const auto access = nodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    return Application(options, parsed, *access, *base).run();
}

} // namespace lagoontiller::command
