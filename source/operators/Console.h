#pragma once

#include "callers/HttpServer.h"
#include "control/DocumentRepository.h"
#include "document/KeyHash.h"
#include "operators/Draft.h"
#include "operators/FormData.h"
#include "operators/Sessions.h"

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

    Console(control::DocumentRepository& documents, document::KeyHash operatorKey, StatusFunction status, Clock clock,
        SessionLimits limits = {});

    /// \brief Whether the target belongs to the console rather than to the operator API.
    [[nodiscard]] static bool serves(const std::string& target) noexcept;

    void handle(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);

private:
    /// \brief One request of a signed-in operator, copied into the handlers that answer it later.
    struct Exchange {
        Session session;
        callers::ResponseStreamPointer response;
    };
    using VersionHandler = std::function<void(const core::Expected<std::optional<document::VersionRow>>&)>;

    // Console.cpp
    void signIn(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);
    void openSession(
        const callers::IncomingRequest& request, const FormData& form, const callers::ResponseStreamPointer& response);
    void refuseWithoutSession(
        const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response) const;
    void get(const std::string& path, const FormData& query, const Exchange& exchange);
    void post(const callers::IncomingRequest& request, const std::string& path, const Exchange& exchange);

    // ConsoleDrafts.cpp
    void startDraft(const FormData& query, const Exchange& exchange);
    void importDraft(const FormData& form, const Exchange& exchange);
    void changeDraft(const FormData& form, const Exchange& exchange);
    void preview(const Draft& draft, const Exchange& exchange);
    void accept(const Draft& draft, const std::string& acceptanceId, const Exchange& exchange);
    void onAcceptance(const document::Acceptance::Step& result, const Draft& draft, const std::string& acceptanceId,
        const Exchange& exchange);
    /// \brief Answers with the conflict page, unless the version that won is this very acceptance.
    void onLostRace(const document::VersionConflict& race, const Draft& draft, const std::string& acceptanceId,
        const Exchange& exchange);
    /// \brief Reads back whether an acceptance took effect.
    void askOutcome(const Draft& draft, const std::string& acceptanceId, const Exchange& exchange);

    // ConsoleHistory.cpp
    void history(const FormData& query, const Exchange& exchange);
    void version(const FormData& query, const Exchange& exchange);
    /// \brief Reads one version; the handler gets nothing when it does not exist.
    void readVersion(document::DocumentVersion version, VersionHandler handler);

    control::DocumentRepository& documents;
    document::KeyHash operatorKey;
    StatusFunction status;
    Clock clock;
    Sessions sessions;
};

} // namespace lagoontiller::operators
