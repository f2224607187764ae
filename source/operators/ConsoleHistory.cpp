#include "operators/Console.h"

#include "operators/HistoryPages.h"
#include "operators/Layout.h"

namespace lagoontiller::operators {

namespace {

std::string unavailableText(const core::Error& error)
{
    return "The history cannot be read now: " + error.message + " (result code "
        + std::to_string(static_cast<int>(error.code)) + "). Try again when the table service answers.";
}

} // namespace

void Console::showHistory(const FormData& query, const RequestContext& context)
{
    const auto current = this->documents.current().version;
    const auto before = parseUnsigned(query.value("before"));
    const auto end = before == 0 ? current : before - 1;
    const auto after = end > versionsPerPage ? end - versionsPerPage : 0;
    // The newest page also reads past the version in force on this node, to show versions that the node has not
    // received yet.
    const auto limit = static_cast<int>(before == 0 ? 2 * versionsPerPage : end - after);
    this->documents.versions(
        after, limit, [context, current](const core::Expected<std::vector<document::VersionRow>>& rows) {
            const auto content
                = rows ? historyPage(*rows, current) : messageBox(MessageKind::Error, unavailableText(rows.error()));
            sendPage(context.response, rows ? 200 : 503,
                renderPage("History", NavigationItem::History, context.session, content));
        });
}

void Console::showVersion(const FormData& query, const RequestContext& context)
{
    const auto number = parseUnsigned(query.value("n"));
    const auto current = this->documents.current().version;
    this->readVersion(number, [context, number, current](const auto& row) {
        const auto title = "Version " + std::to_string(number);
        const auto send = [&](int status, const Html& content) {
            sendPage(context.response, status, renderPage(title, NavigationItem::History, context.session, content));
        };
        if (!row)
            send(503, messageBox(MessageKind::Error, unavailableText(row.error())));
        else if (!*row)
            send(404, messageBox(MessageKind::Error, "This version does not exist."));
        else
            send(200, versionPage(**row, current));
    });
}

void Console::readVersion(document::DocumentVersion version, VersionHandler handler)
{
    if (version == 0)
        return handler(std::optional<document::VersionRow>());
    this->documents.versions(version - 1, 1,
        [version, handler = std::move(handler)](const core::Expected<std::vector<document::VersionRow>>& rows) {
            if (!rows)
                return handler(tl::unexpected(rows.error()));
            const bool isFound = !rows->empty() && rows->front().version == version;
            handler(isFound ? std::optional(rows->front()) : std::nullopt);
        });
}

} // namespace lagoontiller::operators
