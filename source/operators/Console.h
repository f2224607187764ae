#pragma once

#include "callers/HttpServer.h"
#include "control/DocumentKeeper.h"
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
/// Works without scripts. A draft is carried in the form; the console keeps only the sessions. Every POST carries the
/// session's token, and the sign-in form a token that equals a cookie.
class Console {
public:
    using StatusFunction = std::function<nlohmann::json()>;
    using Clock = std::function<core::TimePoint()>;

    Console(control::DocumentKeeper& documents, document::KeyHash operatorKey, StatusFunction status, Clock clock,
        SessionLimits limits = {});

    /// \brief Whether the target belongs to the console rather than to the operator API.
    [[nodiscard]] static bool serves(const std::string& target) noexcept;

    void handle(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);

private:
    /// \brief One request of a signed-in operator, copied into the handlers that answer it later.
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
    /// \brief Answers with the conflict page, unless the version that won is this very acceptance.
    void onVersionConflict(const document::LostRace& race, const Draft& draft, const std::string& acceptanceId,
        const RequestContext& context);
    /// \brief Reads back whether an acceptance took effect.
    void resolveOutcome(const Draft& draft, const std::string& acceptanceId, const RequestContext& context);

    // ConsoleHistory.cpp
    void showHistory(const FormData& query, const RequestContext& context);
    void showVersion(const FormData& query, const RequestContext& context);
    /// \brief Reads one version; the handler gets nothing when it does not exist.
    void readVersion(document::DocumentVersion version, VersionHandler handler);

    control::DocumentKeeper& documents;
    document::KeyHash operatorKey;
    StatusFunction status;
    Clock clock;
    SessionStore sessions;
};

} // namespace lagoontiller::operators
