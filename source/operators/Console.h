#pragma once

#include "callers/HttpServer.h"
#include "control/DocumentRepository.h"
#include "document/KeyHash.h"
#include "operators/Draft.h"
#include "operators/FormData.h"
#include "operators/SessionStore.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

/// \brief HTML console for operators: sign-in, document forms, acceptance, history and status. Runs on the control
/// thread.
///
/// The pages use no scripts. Drafts are stored in hidden form fields, and the console keeps no state except sessions.
/// Every POST request must include the session's CSRF token. The sign-in form, which has no session yet, includes a
/// token that must equal a cookie.
class Console {
public:
    using StatusFunction = std::function<nlohmann::json()>;
    using Clock = std::function<core::TimePoint()>;

    Console(control::DocumentRepository& documents, document::KeyHash operatorKey, StatusFunction status, Clock clock,
        SessionLimits limits = {});

    /// \brief Whether the request target is a path of the console rather than of the operator API.
    [[nodiscard]] static bool serves(const std::string& target) noexcept;

    void handle(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);

private:
    /// \brief Session and response stream of one authenticated request. Asynchronous handlers hold a copy until they
    /// respond.
    struct RequestContext {
        Session session;
        callers::ResponseStreamPointer response;
    };
    using VersionHandler = std::function<void(const core::Expected<std::optional<document::VersionRow>>&)>;

    // Console.cpp
    void handleSignIn(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);
    void openSession(
        const callers::IncomingRequest& request, const FormData& form, const callers::ResponseStreamPointer& response);
    void rejectWithoutSession(
        const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response) const;
    void handleGet(const std::string& path, const FormData& query, const RequestContext& context);
    void handlePost(const callers::IncomingRequest& request, const std::string& path, const RequestContext& context);

    // ConsoleDrafts.cpp
    void showDraftForm(const FormData& query, const RequestContext& context);
    void importDraft(const FormData& form, const RequestContext& context);
    void changeDraft(const FormData& form, const RequestContext& context);
    void showPreview(const Draft& draft, const RequestContext& context);
    void acceptDraft(const Draft& draft, const std::string& acceptanceId, const RequestContext& context);
    void onAcceptanceResult(const document::Acceptance::Step& result, const Draft& draft,
        const std::string& acceptanceId, const RequestContext& context);
    /// \brief Responds with the conflict page, or with the accepted page when the accepted version has this acceptance
    /// ID.
    void onVersionConflict(const document::VersionConflict& race, const Draft& draft, const std::string& acceptanceId,
        const RequestContext& context);
    /// \brief Reads the version after the draft's base version to find out whether an acceptance took effect, and
    /// responds with the result.
    void resolveOutcome(const Draft& draft, const std::string& acceptanceId, const RequestContext& context);

    // ConsoleHistory.cpp
    void showHistory(const FormData& query, const RequestContext& context);
    void showVersion(const FormData& query, const RequestContext& context);
    /// \brief Reads one version and calls the handler with it, with nullopt when the version does not exist, or with
    /// the error of the read.
    void readVersion(document::DocumentVersion version, VersionHandler handler);

    control::DocumentRepository& documents;
    document::KeyHash operatorKey;
    StatusFunction status;
    Clock clock;
    SessionStore sessions;
};

} // namespace lagoontiller::operators
