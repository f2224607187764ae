#include "control/DocumentKeeper.h"

#include "control/Overloaded.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

constexpr auto loadRetryDelay = std::chrono::seconds(1);
constexpr auto firstStepDelay = std::chrono::milliseconds(100);
constexpr int historyPageRows = 50;

} // namespace

struct DocumentKeeper::Running {
    document::Acceptance acceptance;
    std::string text;
    AcceptHandler handler;
    asio::steady_timer timer;
};

DocumentKeeper::DocumentKeeper(asio::io_context& context, const tables::TableClient& tables, ChangeHandler onChange)
    : context(context)
    , tables(tables)
    , onChange(std::move(onChange))
    , loadTimer(context)
{
}

void DocumentKeeper::load()
{
    this->tables.read(std::string(document::currentRowKey), [this](core::Expected<std::optional<tables::Row>> row) {
        asio::post(this->context, [this, row = std::move(row)] {
            if (!row || !*row) {
                this->loadLater();
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

void DocumentKeeper::loadLater()
{
    if (this->inForce.version > 0)
        return;
    this->loadTimer.expires_after(loadRetryDelay);
    this->loadTimer.async_wait([this](const asio::error_code& error) {
        if (!error && this->inForce.version == 0)
            this->load();
    });
}

void DocumentKeeper::readVersion(document::DocumentVersion version)
{
    this->tables.read(
        document::versionRowKey(version), [this, version](core::Expected<std::optional<tables::Row>> row) {
            asio::post(this->context, [this, version, row = std::move(row)] {
                const auto decoded = row && *row
                    ? document::decodeVersionRow((*row)->value)
                    : core::failure(core::ResultCode::StoreUnavailable, "version row not read");
                if (decoded)
                    this->offer(version, decoded->text);
                else
                    this->loadLater();
            });
        });
}

void DocumentKeeper::offer(document::DocumentVersion version, const std::string& text)
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

void DocumentKeeper::accept(document::AcceptanceRequest request, AcceptHandler handler)
{
    auto text = request.text;
    auto running = std::make_shared<Running>(Running { document::Acceptance(std::move(request)), std::move(text),
        std::move(handler), asio::steady_timer(this->context) });
    this->drive(running);
}

void DocumentKeeper::drive(const std::shared_ptr<Running>& running)
{
    const auto again = [this, running] {
        if (running->acceptance.failures() == 0) {
            this->drive(running);
            return;
        }
        running->timer.expires_after(firstStepDelay * (1 << running->acceptance.failures()));
        running->timer.async_wait([this, running](const asio::error_code&) { this->drive(running); });
    };
    const auto& step = running->acceptance.step();
    std::visit(Overloaded {
                   [&](const document::ReadRow& read) {
                       this->tables.read(
                           read.key, [this, running, again](core::Expected<std::optional<tables::Row>> row) {
                               asio::post(this->context, [running, again, row = std::move(row)] {
                                   if (row)
                                       running->acceptance.onRow(*row);
                                   else
                                       running->acceptance.onReadFailed();
                                   again();
                               });
                           });
                   },
                   [&](const document::WriteRows& write) {
                       this->tables.transact(
                           write.transaction, [this, running, again](core::Expected<tables::TransactionReply> reply) {
                               asio::post(this->context, [running, again, reply = std::move(reply)] {
                                   if (reply)
                                       running->acceptance.onReply(*reply);
                                   else
                                       running->acceptance.onReplyLost();
                                   again();
                               });
                           });
                   },
                   [&](const document::Accepted& accepted) {
                       this->offer(accepted.version, running->text);
                       running->handler(step);
                   },
                   [&](const auto&) { running->handler(step); },
               },
        step);
}

void DocumentKeeper::history(std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->historyPage(std::make_shared<std::vector<document::VersionRow>>(), "", std::move(handler));
}

void DocumentKeeper::versions(document::DocumentVersion after, int limit,
    std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->tables.scan("document/version/", document::versionRowKey(after), limit,
        [this, handler = std::move(handler)](core::Expected<std::vector<tables::Row>> page) {
            asio::post(this->context, [handler, page = std::move(page)] {
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

void DocumentKeeper::historyPage(const std::shared_ptr<std::vector<document::VersionRow>>& rows,
    const std::string& after, std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler)
{
    this->tables.scan("document/version/", after, historyPageRows,
        [this, rows, handler = std::move(handler)](core::Expected<std::vector<tables::Row>> page) {
            asio::post(this->context, [this, rows, handler, page = std::move(page)] {
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
                    this->historyPage(rows, page->back().key, handler);
            });
        });
}

} // namespace lagoontiller::control
