#include "core/ResultCode.h"

#include <algorithm>
#include <array>

namespace lagoontiller::core {

namespace {

struct Row {
    ResultCode code;
    std::string_view name;
    int status;
};

constexpr std::array rows {
    Row { ResultCode::Ok, "ok", 200 },
    Row { ResultCode::MalformedJson, "malformed_json", 400 },
    Row { ResultCode::InvalidUtf8, "invalid_utf8", 400 },
    Row { ResultCode::BodyTooLarge, "body_too_large", 413 },
    Row { ResultCode::MissingField, "missing_field", 400 },
    Row { ResultCode::InvalidField, "invalid_field", 400 },
    Row { ResultCode::MissingKey, "missing_key", 401 },
    Row { ResultCode::UnknownKey, "unknown_key", 401 },
    Row { ResultCode::UnknownModel, "unknown_model", 404 },
    Row { ResultCode::UnknownService, "unknown_service", 404 },
    Row { ResultCode::UnknownProgram, "unknown_program", 404 },
    Row { ResultCode::UnknownTurn, "unknown_turn", 404 },
    Row { ResultCode::UnknownPath, "unknown_path", 404 },
    Row { ResultCode::KeyReused, "key_reused", 422 },
    Row { ResultCode::TurnConflict, "turn_conflict", 409 },
    Row { ResultCode::RequestTooSlow, "request_too_slow", 408 },
    Row { ResultCode::ProgramEnded, "program_ended", 410 },
    Row { ResultCode::UnknownCall, "unknown_call", 404 },
    Row { ResultCode::TooManyRequests, "too_many_requests", 429 },
    Row { ResultCode::QueueFull, "queue_full", 429 },
    Row { ResultCode::BudgetExhausted, "budget_exhausted", 402 },
    Row { ResultCode::DeadlineExceeded, "deadline_exceeded", 504 },
    Row { ResultCode::ProgramLimitReached, "program_limit_reached", 429 },
    Row { ResultCode::RequestIsolated, "request_isolated", 422 },
    Row { ResultCode::TooManyConnections, "too_many_connections", 429 },
    Row { ResultCode::PartitionUnavailable, "partition_unavailable", 503 },
    Row { ResultCode::OwnerChanged, "owner_changed", 503 },
    Row { ResultCode::TurnOutOfOrder, "turn_out_of_order", 409 },
    Row { ResultCode::OutcomeUnknown, "outcome_unknown", 409 },
    Row { ResultCode::CallInProgress, "call_in_progress", 409 },
    Row { ResultCode::NodeDraining, "node_draining", 503 },
    Row { ResultCode::CommitPending, "commit_pending", 503 },
    Row { ResultCode::NoEndpoint, "no_endpoint", 503 },
    Row { ResultCode::EndpointFailed, "endpoint_failed", 502 },
    Row { ResultCode::EndpointTimeout, "endpoint_timeout", 504 },
    Row { ResultCode::EndpointRefused, "endpoint_refused", 502 },
    Row { ResultCode::StaleFence, "stale_fence", 409 },
    Row { ResultCode::StoreUnavailable, "store_unavailable", 503 },
    Row { ResultCode::StoreConflict, "store_conflict", 409 },
    Row { ResultCode::StoreOutcomeUnknown, "store_outcome_unknown", 503 },
    Row { ResultCode::VmListUnavailable, "vm_list_unavailable", 503 },
    Row { ResultCode::WeightStoreUnavailable, "weight_store_unavailable", 503 },
    Row { ResultCode::DocumentFault, "document_fault", 422 },
    Row { ResultCode::DocumentConflict, "document_conflict", 409 },
    Row { ResultCode::NoDocument, "no_document", 503 },
    Row { ResultCode::SettingsFault, "settings_fault", 500 },
    Row { ResultCode::DocumentOutcomeUnknown, "document_outcome_unknown", 503 },
    Row { ResultCode::SignInRefused, "sign_in_refused", 401 },
    Row { ResultCode::FileUnreadable, "file_unreadable", 500 },
    Row { ResultCode::PeerUnreachable, "peer_unreachable", 503 },
    Row { ResultCode::MalformedFrame, "malformed_frame", 400 },
    Row { ResultCode::PeerRefused, "peer_refused", 502 },
    Row { ResultCode::Internal, "internal", 500 },
};

constexpr auto codes = [] {
    std::array<ResultCode, rows.size()> result {};
    std::transform(rows.begin(), rows.end(), result.begin(), [](const Row& row) { return row.code; });
    return result;
}();

const Row& find(ResultCode code) noexcept
{
    const auto row = std::find_if(rows.begin(), rows.end(), [code](const Row& each) { return each.code == code; });
    return row == rows.end() ? rows.back() : *row;
}

} // namespace

std::string_view name(ResultCode code) noexcept
{
    return find(code).name;
}

int httpStatus(ResultCode code) noexcept
{
    return find(code).status;
}

std::string_view name(RunState state) noexcept
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::MayHaveRun:
        return "may have run";
    case RunState::Ran:
        return "ran";
    }
    return "may have run";
}

std::span<const ResultCode> allResultCodes() noexcept
{
    return codes;
}

} // namespace lagoontiller::core
