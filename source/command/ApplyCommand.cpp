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

/// \brief Parses a decimal version number; empty if the text is anything else or out of range.
std::optional<std::uint64_t> parseVersion(const std::string& text)
{
    std::uint64_t version = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc() && rest == text.data() + text.size() ? std::optional(version) : std::nullopt;
}

/// \brief Converts a fault from the JSON of the operator API.
document::Fault parseFault(const json& fault)
{
    return { fault.value("line", 0), fault.value("column", 0), textField(fault, "section"), textField(fault, "key"),
        textField(fault, "problem"), textField(fault, "allowed"), textField(fault, "hint") };
}

/// \brief Prints one line for each change in the array `key` of the response.
void printChanges(const json& response, const char* key)
{
    for (const auto& change : response.value(key, json::array()))
        std::cout << "  " << formatChange(change) << '\n';
}

/// \brief Executes the command with parsed arguments.
class ApplyRun {
public:
    ApplyRun(const cxxopts::Options& options, const cxxopts::ParseResult& parsed, const NodeAccess& access,
        std::uint64_t baseVersion)
        : options(options)
        , file(parsed["file"].as<std::string>())
        , author(parsed["author"].as<std::string>())
        , baseVersion(baseVersion)
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
        const auto response = this->node.post(
            "/v1/document", { { "text", *text }, { "author", this->author }, { "base", this->baseVersion } });
        if (!response && response.error().ran == core::RunState::MayHaveRun)
            return this->resolveLostReply(*text, response.error());
        if (!response)
            return reportError(this->options, response.error());
        return this->reportResponse(*response);
    }

private:
    int reportResponse(const NodeResponse& response)
    {
        const auto result = textField(response.body, "result");
        if (result == "faults")
            return this->reportFaults(response.body.value("faults", json::array()));
        if (result == "conflict")
            return this->reportConflict(response.body);
        if (result != "accepted")
            return reportErrorResponse(this->options, response);
        if (this->asJson) {
            printJson(response.body);
        } else {
            std::cout << "accepted as version " << response.body.value("version", 0) << '\n';
            printChanges(response.body, "changes");
        }
        return ExitStatus::Success;
    }

    [[nodiscard]] int reportFaults(const json& faults) const
    {
        if (this->asJson) {
            printJson({ { "result", "faults" }, { "file", this->file }, { "faults", faults } });
        } else {
            for (const auto& fault : faults)
                std::cout << document::format(parseFault(fault), this->file) << '\n';
            std::cout << this->file << ": " << faults.size() << (faults.size() == 1 ? " fault" : " faults")
                      << "; nothing was accepted\n";
        }
        return ExitStatus::FaultsFound;
    }

    [[nodiscard]] int reportConflict(const json& response) const
    {
        if (this->asJson) {
            printJson(response);
            return ExitStatus::Conflict;
        }
        std::cout << "conflict: version " << response.value("current_version", 0) << " by "
                  << textField(response, "current_author") << " was accepted after version " << this->baseVersion
                  << "; nothing of " << this->file << " was accepted\nchanges accepted since then:\n";
        printChanges(response, "winner");
        std::cout << "your changes that still fit:\n";
        printChanges(response, "kept");
        std::cout << "your changes that conflict:\n";
        for (const auto& conflict : response.value("conflicts", json::array()))
            std::cout << "  " << textField(conflict, "mine") << "  (theirs: " << textField(conflict, "theirs") << ")\n";
        std::cout << "Get the current document with \"lagoontiller show\", add your changes and apply it with --base "
                  << response.value("current_version", 0) << "; --json prints the merged text.\n";
        return ExitStatus::Conflict;
    }

    // A lost response does not mean that the document was not accepted: compare it with the version in force.
    int resolveLostReply(const std::string& text, const core::Error& error)
    {
        const auto response = this->node.get("/v1/document");
        const auto version
            = response && response->status == 200 ? response->body.value("version", std::uint64_t(0)) : 0;
        if (version == this->baseVersion + 1 && textField(response->body, "text") == text) {
            if (this->asJson)
                printJson({ { "result", "accepted" }, { "version", version } });
            else
                std::cout << "accepted as version " << version
                          << " (the response was lost; confirmed by reading the document)\n";
            return ExitStatus::Success;
        }
        std::cerr << this->options.program() << ": " << error.message
                  << "\nIt is unknown whether the document was accepted. Check \"lagoontiller history\" before "
                     "applying again.\n";
        return ExitStatus::Unavailable;
    }

    const cxxopts::Options& options;
    std::string file;
    std::string author;
    std::uint64_t baseVersion;
    bool asJson;
    NodeClient node;
};

} // namespace

int runApply(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller apply", "Check a document and submit it as the next version (- for stdin)");
    options.add_options()("file", "Document to submit", cxxopts::value<std::string>())("base",
        "Version that the file is based on; 0 for the first document",
        cxxopts::value<std::string>())("author", "Author name recorded in the history", cxxopts::value<std::string>());
    addNodeOptions(options);
    options.parse_positional("file");
    options.positional_help("FILE");
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("file") != 1)
        return usageError(options, "exactly one FILE is required");
    const auto baseVersion = parsed.count("base") == 1 ? parseVersion(parsed["base"].as<std::string>()) : std::nullopt;
    if (!baseVersion)
        return usageError(options, "--base VERSION is required: the number of the version that the file is based on");
    if (parsed.count("author") != 1 || parsed["author"].as<std::string>().empty())
        return usageError(options, "--author NAME is required");
    const auto access = parseNodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    return ApplyRun(options, parsed, *access, *baseVersion).run();
}

} // namespace lagoontiller::command
