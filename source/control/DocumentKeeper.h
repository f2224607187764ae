#pragma once

#include "core/Error.h"
#include "document/Acceptance.h"
#include "tables/TableClient.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lagoontiller::control {

/// \brief The document in force on this node with its text.
struct DocumentInForce {
    document::DocumentVersion version = 0;
    std::string text;
    std::shared_ptr<const document::Document> document;
};

/// \brief Loads the document from the table service, accepts new versions, and never goes back to an older one.
///
/// Runs on the control thread; replies of the table service are posted to it.
class DocumentKeeper {
public:
    using ChangeHandler = std::function<void(const DocumentInForce&)>;
    using AcceptHandler = std::function<void(const document::Acceptance::Step&)>;

    DocumentKeeper(asio::io_context& context, const tables::TableClient& tables, ChangeHandler onChange);

    [[nodiscard]] const DocumentInForce& current() const noexcept { return this->inForce; }

    /// \brief Reads the newest version from the store, again and again until one was read or another node sent one.
    void load();
    /// \brief Takes a version that another node sent. Ignored when it is not newer or has faults.
    void offer(document::DocumentVersion version, const std::string& text);
    /// \brief Accepts a new version; the handler gets Accepted, VersionConflict or Refused.
    void accept(document::AcceptanceRequest request, AcceptHandler handler);
    /// \brief Reads the rows of all versions, oldest first, in pages.
    void history(std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

    /// \brief Reads the rows that follow version `after`, oldest first, at most `limit`.
    void versions(document::DocumentVersion after, int limit,
        std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

private:
    struct Running;

    void drive(const std::shared_ptr<Running>& running);
    void readVersion(document::DocumentVersion version);
    void loadLater();
    void historyPage(const std::shared_ptr<std::vector<document::VersionRow>>& rows, const std::string& after,
        std::function<void(core::Expected<std::vector<document::VersionRow>>)> handler);

    asio::io_context& context;
    const tables::TableClient& tables;
    ChangeHandler onChange;
    DocumentInForce inForce;
    asio::steady_timer loadTimer;
};

} // namespace lagoontiller::control
