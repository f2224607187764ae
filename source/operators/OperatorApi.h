#pragma once

#include "callers/HttpServer.h"
#include "control/DocumentRepository.h"
#include "document/KeyHash.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

/// \brief JSON interface for operators: the document, its history and the node's status. Runs on the control thread.
///
/// Every request must have the header `Authorization: Bearer <operator key>`; others are refused with SignInRefused.
class OperatorApi {
public:
    using StatusFunction = std::function<nlohmann::json()>;

    OperatorApi(control::DocumentRepository& documents, document::KeyHash operatorKey, StatusFunction status);

    void handle(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);

private:
    void showDocument(const callers::ResponseStreamPointer& response) const;
    void acceptDocument(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response);
    void showHistory(const callers::ResponseStreamPointer& response);

    control::DocumentRepository& documents;
    document::KeyHash operatorKey;
    StatusFunction status;
};

} // namespace lagoontiller::operators
