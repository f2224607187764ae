#include "control/Context.h"

#include "callers/ChatCompletion.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::control {

namespace {

DurableSettings durableSettings(const ControllerSettings& settings)
{
    return { settings.node, settings.runId, settings.commitInterval };
}

const std::string& requestedClass(const Call& call)
{
    static const std::string none;
    if (const auto* model = call.modelCall())
        return model->identity.programClass;
    if (const auto* service = call.serviceCall())
        return service->identity.programClass;
    return none;
}

state::BudgetLimits limitsOf(const document::ProgramClass& programClass)
{
    state::BudgetLimits limits;
    limits.tokens = static_cast<std::uint64_t>(programClass.maxTokens);
    limits.turns = static_cast<std::uint32_t>(programClass.maxTurns);
    limits.calls = static_cast<std::uint32_t>(programClass.maxCalls);
    limits.wallTime = std::chrono::seconds(programClass.maxWallSeconds);
    return limits;
}

core::Expected<void> checkClass(const Call& call, const document::ProgramClass* programClass)
{
    const auto* customer = call.document->customer(call.program.customer);
    if (customer == nullptr || programClass == nullptr)
        return core::failure(core::ResultCode::InvalidField, "the program class is not in the document");
    const auto& allowed = customer->classes;
    if (std::find(allowed.begin(), allowed.end(), programClass->name) == allowed.end())
        return core::failure(core::ResultCode::InvalidField, "the customer may not use this program class");
    return {};
}

} // namespace

Context::Context(ControllerSettings controllerSettings, core::MetricRegistry& metrics, core::TimePoint now)
    : settings(std::move(controllerSettings))
    , metrics(metrics)
    , durable(durableSettings(this->settings), state::Partitions(this->settings.partitionCount, this->settings.regions),
          this->settings.seed, now)
    , dispatcher(this->settings.zone, this->settings.region, this->settings.seed + 2)
    , random(this->settings.seed + 3)
{
}

std::string Context::newRequestId()
{
    return this->settings.runId + "-" + std::to_string(++this->lastRequest);
}

void Context::refuse(Call& call, const core::Error& reason, std::uint64_t retryAfterMs)
{
    auto error = reason;
    if (call.mayHaveRun && error.ran == core::RunState::NotRun)
        error.ran = core::RunState::MayHaveRun;
    for (const auto joined : std::vector<CallId>(call.joinedCalls)) {
        if (auto* other = this->calls.find(joined))
            this->refuse(*other, error, retryAfterMs);
    }
    core::logInfo("call_refused")
        .with("request", call.requestId)
        .with("customer", call.program.customer)
        .with("program", call.program.program)
        .with("code", static_cast<int>(error.code))
        .with("name", core::name(error.code))
        .with("ran", core::name(error.ran))
        .with("message", error.message);
    this->metrics.add("lagoontiller_refusals_total",
        { { "customer", call.program.customer }, { "code", std::string(core::name(error.code)) } });
    if (call.answerOpen) {
        this->effects.push_back(RefuseAnswer { call.id, error, retryAfterMs });
    } else {
        this->effects.push_back(SendAnswer { call.id, core::httpStatus(error.code),
            callers::errorHeaders(error, retryAfterMs), callers::errorBody(error, retryAfterMs) });
    }
    this->calls.erase(call.id);
}

void Context::answer(Call& call, int status, http::Headers headers, std::string body)
{
    if (http::headerValue(headers, "Content-Type").empty())
        headers.push_back({ "Content-Type", "application/json" });
    if (!call.program.program.empty())
        headers.push_back({ "X-Program-Id", call.program.program });
    this->effects.push_back(SendAnswer { call.id, status, std::move(headers), std::move(body) });
    this->calls.erase(call.id);
}

void Context::observeCompletion(const Call& call, const std::string& outcome, core::TimePoint now)
{
    const auto* programClass = programClassOf(*this, call);
    const core::MetricLabels labels { { "customer", call.program.customer },
        { "class", programClass == nullptr ? "" : programClass->name } };
    const double milliseconds = static_cast<double>((now - call.arrived).count()) / 1000.0;
    this->metrics.observe(
        call.modelCall() != nullptr ? "lagoontiller_turn_ms" : "lagoontiller_call_ms", labels, milliseconds);
    this->metrics.add("lagoontiller_calls_total", { { "customer", call.program.customer }, { "outcome", outcome } });
}

std::uint64_t suggestedRetryAfterMs(core::ResultCode code) noexcept
{
    switch (code) {
    case core::ResultCode::KeyReused:
    case core::ResultCode::TurnConflict:
    case core::ResultCode::ProgramEnded:
    case core::ResultCode::OutcomeUnknown:
    case core::ResultCode::InvalidField:
        return 0;
    default:
        return shortRetryAfterMs;
    }
}

std::string cacheKey(const core::ProgramKey& program)
{
    return program.customer + "/" + program.program;
}

const document::ProgramClass* programClassOf(const Context& context, const Call& call)
{
    if (!call.document)
        return nullptr;
    const auto* root = context.durable.find(state::rootOf(call.program));
    if (root != nullptr && !root->programClass.empty())
        return call.document->programClass(root->programClass);
    const auto* customer = call.document->customer(call.program.customer);
    const auto& requested = requestedClass(call);
    if (!requested.empty())
        return call.document->programClass(requested);
    return customer == nullptr ? nullptr : call.document->programClass(customer->classes.front());
}

core::Expected<std::vector<records::Entry>> openProgram(Context& context, const Call& call, core::TimePoint now)
{
    const auto rootKey = state::rootOf(call.program);
    const auto* root = context.durable.find(rootKey);
    const auto* program = context.durable.find(call.program);
    if ((root != nullptr && root->ended) || (program != nullptr && program->ended))
        return core::failure(core::ResultCode::ProgramEnded, "the program has ended");
    if (rootKey != call.program && (root == nullptr || !root->opened))
        return core::failure(core::ResultCode::UnknownProgram, "the parent program is not known");
    const auto* programClass = programClassOf(context, call);
    const bool isNew = program == nullptr || !program->opened;
    if (programClass == nullptr || (isNew && rootKey == call.program)) {
        if (const auto checked = checkClass(call, programClass); !checked)
            return tl::unexpected(checked.error());
    }
    const auto openedMs = root != nullptr && root->opened ? root->openedUnixMs : context.unixMs;
    const auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, context.unixMs - openedMs));
    const auto arrival = context.durable.wasHandedOver(call.partition) ? state::OwnershipOrigin::HandOver
                                                                       : state::OwnershipOrigin::Takeover;
    // Budget limits are those of the current document, not of the document at the arrival of the call, so that a
    // changed limit applies to running programs.
    const auto* currentClass = context.document->programClass(programClass->name);
    const auto limits = limitsOf(currentClass == nullptr ? *programClass : *currentClass);
    context.budgetLedger.open(rootKey, limits, context.durable.budgetOf(rootKey), arrival, now - age);
    std::vector<records::Entry> entries;
    if (isNew) {
        auto* opened = entries.emplace_back().mutable_program_opened();
        opened->set_program_class(programClass->name);
        opened->set_document_version(call.documentVersion);
        opened->set_opened_unix_ms(context.unixMs);
    }
    return entries;
}

} // namespace lagoontiller::control
