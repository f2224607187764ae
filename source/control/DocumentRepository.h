#pragma once

#include "core/Error.h"
#include "document/Acceptance.h"
#include "tables/TableClient.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lagoontiller::control {

/// \brief The document that this node currently applies, with its source text. Version 0 means none.
struct DocumentInForce {
    document::DocumentVersion version = 0;
    std::string text;
    std::shared_ptr<const document::Document> document;
};

/// \brief Loads the document from the table service and stores new versions there. The version never decreases.
///
/// Runs on the control thread, to which replies of the table service are posted. Handlers are called on that thread.
class DocumentRepository {
public:
    using ChangeHandler = std::function<void(const DocumentInForce&)>;
    using AcceptHandler = std::function<void(const document::Acceptance::Step&)>;

    DocumentRepository(asio::io_context& ioContext, const tables::TableClient& tables, ChangeHandler onChange);

    [[nodiscard]] const DocumentInForce& current() const noexcept { return this->inForce; }

    /// \brief Reads the newest version from the store. Retries until a version was read or received from another node,
    /// except after a row of `document/current` that cannot be decoded, which is logged.
    void load();
    /// \brief Applies a version from the store or another node. A version that is not newer or does not parse is
    /// ignored.
    void adopt(document::DocumentVersion version, const std::string& text);
    /// \brief Stores a new version and applies it. The handler receives Accepted, VersionConflict or Refused.
    void accept(document::AcceptanceRequest request, AcceptHandler handler);
    /// \brief Reads the rows of all versions, oldest first. Undecodable rows are left out. Error: that of the first
    /// page that could not be read.
    void history(std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

    /// \brief Reads at most `limit` rows of versions above `after`, oldest first. Undecodable rows are left out.
    void versions(document::DocumentVersion after, int limit,
        std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

private:
    struct PendingAcceptance;

    /// \brief Performs the next step of an acceptance, with exponential backoff after store failures.
    void advance(const std::shared_ptr<PendingAcceptance>& pending);
    void readVersion(document::DocumentVersion version);
    void scheduleLoad();
    void readHistoryPage(const std::shared_ptr<std::vector<document::VersionRow>>& rows, const std::string& after,
        std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

    asio::io_context& ioContext;
    const tables::TableClient& tables;
    ChangeHandler onChange;
    DocumentInForce inForce;
    asio::steady_timer loadTimer;
};

} // namespace lagoontiller::control
