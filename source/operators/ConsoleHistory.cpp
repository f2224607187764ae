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

void Console::history(const FormData& query, const Exchange& exchange)
{
    const auto current = this->documents.current().version;
    const auto before = numberOf(query.value("before"));
    const auto end = before == 0 ? current : before - 1;
    const auto after = end > versionsPerPage ? end - versionsPerPage : 0;
    // The newest page reads on, so that it shows a version that this node has not received yet.
    const auto limit = static_cast<int>(before == 0 ? 2 * versionsPerPage : end - after);
    this->documents.versions(
        after, limit, [exchange, current](const core::Expected<std::vector<document::VersionRow>>& rows) {
            const auto content
                = rows ? historyPage(*rows, current) : note(NoteKind::Fault, unavailableText(rows.error()));
            sendPage(exchange.response, rows ? 200 : 503, page("History", Place::History, exchange.session, content));
        });
}

void Console::version(const FormData& query, const Exchange& exchange)
{
    const auto number = numberOf(query.value("n"));
    const auto current = this->documents.current().version;
    this->readVersion(number, [exchange, number, current](const auto& row) {
        const auto title = "Version " + std::to_string(number);
        const auto send = [&](int status, const Html& content) {
            sendPage(exchange.response, status, page(title, Place::History, exchange.session, content));
        };
        if (!row)
            send(503, note(NoteKind::Fault, unavailableText(row.error())));
        else if (!*row)
            send(404, note(NoteKind::Fault, "This version does not exist."));
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
