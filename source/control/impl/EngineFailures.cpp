#include "control/impl/EngineFailures.h"

#include <algorithm>

namespace lagoontiller::control::impl {

policy::FailureKind failureKindOf(const engines::EngineFailed& failure)
{
    if (failure.status == 429 || failure.status == 503)
        return policy::FailureKind::Overloaded;
    if (failure.status != 0 && failure.status != 200)
        return policy::FailureKind::ServerError;
    switch (failure.kind) {
    case http::FailureKind::NotConnected:
        return policy::FailureKind::ConnectionRefused;
    case http::FailureKind::NoAnswer:
    case http::FailureKind::Interrupted:
        return policy::FailureKind::Crashed;
    case http::FailureKind::FirstByteTimeout:
        return policy::FailureKind::TimedOut;
    case http::FailureKind::SilenceTimeout:
        return policy::FailureKind::Silent;
    case http::FailureKind::Cancelled:
        return policy::FailureKind::Cancelled;
    }
    return policy::FailureKind::Crashed;
}

bool mayHaveRun(const engines::EngineFailed& failure)
{
    const bool refused = failure.status == 429 || failure.status == 503;
    return !refused && failure.kind != http::FailureKind::NotConnected;
}

std::string serviceOfModel(const document::Document& document, const std::string& model)
{
    for (const auto& service : document.services()) {
        const bool serves = std::find(service.models.begin(), service.models.end(), model) != service.models.end();
        if (service.kind == document::ServiceKind::Model && serves)
            return service.name;
    }
    return {};
}

} // namespace lagoontiller::control::impl
