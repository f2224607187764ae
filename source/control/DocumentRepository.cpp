#include "control/DocumentRepository.h"

#include "control/Overloaded.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

constexpr auto loadRetryDelay = std::chrono::seconds(1);
constexpr auto retryBaseDelay = std::chrono::milliseconds(100);
constexpr int historyPageRows = 50;

} // namespace

struct DocumentRepository::PendingAcceptance {
    document::Acceptance acceptance;
    std::string text;
    AcceptHandler handler;
    asio::steady_timer timer;
};

DocumentRepository::DocumentRepository(
    asio::io_context& ioContext, const tables::TableClient& tables, ChangeHandler onChange)
    : ioContext(ioContext)
    , tables(tables)
    , onChange(std::move(onChange))
    , loadTimer(ioContext)
{
}

void DocumentRepository::load()
{
    this->tables.read(std::string(document::currentRowKey), [this](core::Expected<std::optional<tables::Row>> row) {
        asio::post(this->ioContext, [this, row = std::move(row)] {
            if (!row || !*row) {
                this->scheduleLoad();
                return;
            }
            const auto current = document::decodeCurrentRow((*row)->value);
            if (current)
                this->readVersion(current->version);
            else
                core::logError("document_row_unreadable").with("message", current.error().message);
        });
    });
}

void DocumentRepository::scheduleLoad()
{
    if (this->inForce.version > 0)
        return;
    this->loadTimer.expires_after(loadRetryDelay);
    this->loadTimer.async_wait([this](const asio::error_code& error) {
        if (!error && this->inForce.version == 0)
            this->load();
    });
}

void DocumentRepository::readVersion(document::DocumentVersion version)
{
    this->tables.read(
        document::versionRowKey(version), [this, version](core::Expected<std::optional<tables::Row>> row) {
            asio::post(this->ioContext, [this, version, row = std::move(row)] {
                const auto decoded = row && *row
                    ? document::decodeVersionRow((*row)->value)
                    : core::failure(core::ResultCode::StoreUnavailable, "version row not read");
                if (decoded)
                    this->adopt(version, decoded->text);
                else
                    this->scheduleLoad();
            });
        });
}

void DocumentRepository::adopt(document::DocumentVersion version, const std::string& text)
{
    if (version <= this->inForce.version)
        return;
    auto parsed = document::parse(text);
    if (!parsed.document) {
        core::logError("document_refused").with("version", version).with("faults", parsed.faults.size());
        return;
    }
    this->inForce = { version, text, std::move(parsed.document) };
    this->onChange(this->inForce);
}

void DocumentRepository::accept(document::AcceptanceRequest request, AcceptHandler handler)
{
    auto text = request.text;
    auto pending = std::make_shared<PendingAcceptance>(PendingAcceptance { document::Acceptance(std::move(request)),
        std::move(text), std::move(handler), asio::steady_timer(this->ioContext) });
    this->advance(pending);
}

void DocumentRepository::advance(const std::shared_ptr<PendingAcceptance>& pending)
{
    const auto continueAcceptance = [this, pending] {
        if (pending->acceptance.failures() == 0) {
            this->advance(pending);
            return;
        }
        pending->timer.expires_after(retryBaseDelay * (1 << pending->acceptance.failures()));
        pending->timer.async_wait([this, pending](const asio::error_code&) { this->advance(pending); });
    };
    const auto& step = pending->acceptance.step();
    std::visit(Overloaded {
                   [&](const document::ReadRow& read) {
                       this->tables.read(read.key,
                           [this, pending, continueAcceptance](core::Expected<std::optional<tables::Row>> row) {
                               asio::post(this->ioContext, [pending, continueAcceptance, row = std::move(row)] {
                                   if (row)
                                       pending->acceptance.onRow(*row);
                                   else
                                       pending->acceptance.onReadFailed();
                                   continueAcceptance();
                               });
                           });
                   },
                   [&](const document::WriteRows& write) {
                       this->tables.transact(write.transaction,
                           [this, pending, continueAcceptance](core::Expected<tables::TransactionReply> reply) {
                               asio::post(this->ioContext, [pending, continueAcceptance, reply = std::move(reply)] {
                                   if (reply)
                                       pending->acceptance.onReply(*reply);
                                   else
                                       pending->acceptance.onReplyLost();
                                   continueAcceptance();
                               });
                           });
                   },
                   [&](const document::Accepted& accepted) {
                       this->adopt(accepted.version, pending->text);
                       pending->handler(step);
                   },
                   [&](const auto&) { pending->handler(step); },
               },
        step);
}

void DocumentRepository::history(std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->readHistoryPage(std::make_shared<std::vector<document::VersionRow>>(), "", std::move(handler));
}

void DocumentRepository::versions(document::DocumentVersion after, int limit,
    std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->tables.scan("document/version/", document::versionRowKey(after), limit,
        [this, handler = std::move(handler)](core::Expected<std::vector<tables::Row>> page) {
            asio::post(this->ioContext, [handler, page = std::move(page)] {
                if (!page) {
                    handler(tl::unexpected(page.error()));
                    return;
                }
                std::vector<document::VersionRow> rows;
                for (const auto& row : *page) {
                    if (auto decoded = document::decodeVersionRow(row.value))
                        rows.push_back(std::move(*decoded));
                }
                handler(std::move(rows));
            });
        });
}

void DocumentRepository::readHistoryPage(const std::shared_ptr<std::vector<document::VersionRow>>& rows,
    const std::string& after, std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->tables.scan("document/version/", after, historyPageRows,
        [this, rows, handler = std::move(handler)](core::Expected<std::vector<tables::Row>> page) {
            asio::post(this->ioContext, [this, rows, handler, page = std::move(page)] {
                if (!page) {
                    handler(tl::unexpected(page.error()));
                    return;
                }
                for (const auto& row : *page) {
                    if (auto decoded = document::decodeVersionRow(row.value))
                        rows->push_back(std::move(*decoded));
                }
                if (page->size() < historyPageRows)
                    handler(*rows);
                else
                    this->readHistoryPage(rows, page->back().key, handler);
            });
        });
}

} // namespace lagoontiller::control
