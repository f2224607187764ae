#include "operators/OperatorApi.h"

#include "callers/CallerOperation.h"
#include "callers/ChatCompletion.h"
#include "control/Overloaded.h"
#include "core/Encoding.h"
#include "core/Log.h"
#include "core/Time.h"
#include "document/Difference.h"
#include "document/FaultJson.h"

namespace lagoontiller::operators {

namespace {

using callers::ResponseStreamPointer;
using control::Overloaded;
using core::ResultCode;
using nlohmann::json;

constexpr std::size_t acceptanceIdBytes = 16;

void respond(const ResponseStreamPointer& response, int status, const json& body)
{
    response->respond(
        status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void refuse(const ResponseStreamPointer& response, const core::Error& error)
{
    response->respond(core::httpStatus(error.code), callers::errorHeaders(error, 0), callers::errorBody(error, 0));
}

json conflictJson(const document::VersionConflict& race)
{
    json conflicts = json::array();
    for (const auto& conflict : race.merge.conflicts)
        conflicts.push_back(
            { { "mine", document::format(conflict.mine) }, { "theirs", document::format(conflict.theirs) } });
    return { { "result", "conflict" }, { "code", static_cast<int>(ResultCode::DocumentConflict) },
        { "current_version", race.currentVersion }, { "current_author", race.currentAuthor },
        { "winner", json::parse(document::toJson(race.changesSinceBase).dump()) },
        { "kept", json::parse(document::toJson(race.merge.kept).dump()) }, { "conflicts", conflicts },
        { "merged_text", document::print(race.merge.values) } };
}

} // namespace

OperatorApi::OperatorApi(control::DocumentRepository& documents, document::KeyHash operatorKey, StatusFunction status)
    : documents(documents)
    , operatorKey(std::move(operatorKey))
    , status(std::move(status))
{
}

void OperatorApi::handle(const callers::IncomingRequest& request, const ResponseStreamPointer& response)
{
    const auto key = callers::customerKey(request);
    if (!key || !document::matchesKey(this->operatorKey, *key)) {
        refuse(response, { ResultCode::SignInRefused, "send the operator key as Authorization: Bearer <key>" });
        return;
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    if (request.method == "GET" && path == "/v1/document")
        this->showDocument(response);
    else if (request.method == "POST" && path == "/v1/document")
        this->acceptDocument(request, response);
    else if (request.method == "GET" && path == "/v1/history")
        this->showHistory(response);
    else if (request.method == "GET" && path == "/v1/status")
        respond(response, 200, this->status());
    else
        refuse(response, { ResultCode::UnknownPath, "unknown path or method" });
}

void OperatorApi::showDocument(const ResponseStreamPointer& response) const
{
    const auto& current = this->documents.current();
    if (current.version == 0)
        refuse(response, { ResultCode::NoDocument, "no document has been accepted yet" });
    else
        respond(response, 200, { { "version", current.version }, { "text", current.text } });
}

void OperatorApi::acceptDocument(const callers::IncomingRequest& request, const ResponseStreamPointer& response)
{
    const auto body = json::parse(request.body, nullptr, false);
    const bool hasRequiredFields = body.is_object() && body.contains("text") && body["text"].is_string()
        && body.contains("base") && body["base"].is_number_unsigned() && body.contains("author")
        && body["author"].is_string();
    if (!hasRequiredFields) {
        refuse(response, { ResultCode::MissingField, "send a JSON object with base, author and text" });
        return;
    }
    document::AcceptanceRequest acceptance;
    acceptance.text = body["text"];
    acceptance.author = body["author"];
    acceptance.base = body["base"];
    acceptance.unixMs = core::unixMilliseconds();
    acceptance.acceptanceId = core::randomHex(acceptanceIdBytes);
    this->documents.accept(std::move(acceptance), [response](const document::Acceptance::Step& result) {
        std::visit(Overloaded {
                       [&](const document::Accepted& accepted) {
                           core::logInfo("document_accepted").with("version", accepted.version);
                           respond(response, 200,
                               { { "result", "accepted" }, { "version", accepted.version },
                                   { "changes", json::parse(document::toJson(accepted.changes).dump()) } });
                       },
                       [&](const document::VersionConflict& race) { respond(response, 409, conflictJson(race)); },
                       [&](const document::Refused& refused) {
                           if (refused.faults.empty()) {
                               refuse(response, refused.error);
                               return;
                           }
                           respond(response, core::httpStatus(refused.error.code),
                               { { "result", "faults" }, { "code", static_cast<int>(refused.error.code) },
                                   { "faults", json::parse(document::toJson(refused.faults).dump()) } });
                       },
                       [&](const auto&) {
                           refuse(response, { ResultCode::Internal, "the acceptance gave no result" });
                       },
                   },
            result);
    });
}

void OperatorApi::showHistory(const ResponseStreamPointer& response)
{
    this->documents.history([response](core::Expected<std::vector<document::VersionRow>> rows) {
        if (!rows) {
            refuse(response, rows.error());
            return;
        }
        json list = json::array();
        for (const auto& row : *rows) {
            list.push_back({ { "version", row.version }, { "base", row.base }, { "author", row.author },
                { "unix_ms", row.unixMs }, { "difference", json::parse(row.differenceJson, nullptr, false) } });
        }
        respond(response, 200, { { "versions", list } });
    });
}

} // namespace lagoontiller::operators
