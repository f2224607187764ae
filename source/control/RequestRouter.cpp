#include "control/RequestRouter.h"

#include "core/Encoding.h"
#include "core/Log.h"
#include "state/Rendezvous.h"

namespace lagoontiller::control {

namespace {

using core::ResultCode;
using nlohmann::json;

constexpr std::size_t maxEntries = 8;
constexpr int entriesValiditySeconds = 5;
constexpr std::size_t maxCandidates = 4;
constexpr auto ownerRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t programIdBytes = 12;

/// \brief 0 for a member in the same availability zone, 1 for one in the same region, 2 otherwise.
int zoneDistance(const Member& member, const ControllerSettings& settings)
{
    if (member.zone == settings.zone)
        return 0;
    return member.region == settings.region ? 1 : 2;
}

bool needsProgram(const callers::CallerOperation& operation)
{
    return !std::holds_alternative<callers::ListEntries>(operation)
        && !std::holds_alternative<callers::ShowMetrics>(operation)
        && !std::holds_alternative<callers::ShowHealth>(operation);
}

callers::CallIdentity* identityOf(callers::CallerOperation& operation)
{
    if (auto* model = std::get_if<callers::ModelCall>(&operation))
        return &model->identity;
    if (auto* service = std::get_if<callers::ServiceCall>(&operation))
        return &service->identity;
    return nullptr;
}

bool isRepeatable(const Call& call)
{
    const auto* request = call.serviceCall();
    const auto* service = call.document->service(request->service);
    return request->identity.repeatable && (service == nullptr || service->mayRepeat(request->path));
}

/// \brief Request header that tells the next owner that a lost node may have run the request.
const std::string earlierAttemptHeader = "X-Earlier-Attempt";

void setHeader(http::Headers& headers, const std::string& name, const std::string& value)
{
    std::erase_if(headers, [&](const http::Header& header) { return http::sameName(header.name, name); });
    headers.push_back({ name, value });
}

} // namespace

Call* RequestRouter::admit(const CallArrived& event, core::TimePoint now)
{
    Call arrived;
    arrived.id = event.call;
    arrived.arrived = now;
    arrived.forwarded = event.forwarded;
    arrived.mayHaveRun = event.forwarded && !http::headerValue(event.request.headers, earlierAttemptHeader).empty();
    arrived.request = event.request;
    arrived.requestId = this->context.newRequestId();
    arrived.document = this->context.document;
    arrived.documentVersion = this->context.documentVersion;
    auto& call = this->context.calls.add(std::move(arrived));
    callers::ParserLimits limits;
    if (call.document)
        limits.maxBodyBytes = static_cast<std::size_t>(call.document->limits().maxBodyBytes);
    auto operation = callers::parseOperation(call.request, limits);
    if (!operation) {
        this->context.refuse(call, operation.error());
        return nullptr;
    }
    call.operation = std::move(*operation);
    if (std::holds_alternative<callers::ListEntries>(call.operation)) {
        this->answerEntries(call);
        return nullptr;
    }
    if (std::holds_alternative<callers::ShowMetrics>(call.operation)) {
        this->context.answer(
            call, 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->context.metrics.text());
        return nullptr;
    }
    if (std::holds_alternative<callers::ShowHealth>(call.operation)) {
        this->answerHealth(call);
        return nullptr;
    }
    if (const auto authenticated = this->authenticate(call); !authenticated) {
        this->context.refuse(call, authenticated.error());
        return nullptr;
    }
    if (this->context.draining && !call.forwarded && needsProgram(call.operation) && call.request.method == "POST") {
        const auto program = callers::programOf(call.operation);
        if (program.empty()) {
            this->context.refuse(call, { ResultCode::NodeDraining, "this node is shutting down" }, shortRetryAfterMs);
            return nullptr;
        }
    }
    this->resolveProgram(call);
    return &call;
}

core::Expected<void> RequestRouter::authenticate(Call& call) const
{
    if (!call.document)
        return core::failure(ResultCode::NoDocument, "this node has no accepted document yet");
    const auto key = callers::customerKey(call.request);
    if (!key)
        return tl::unexpected(key.error());
    const auto* customer = document::customerOfKey(*call.document, *key);
    if (customer == nullptr)
        return core::failure(ResultCode::UnknownKey, "the customer key is not known");
    call.program.customer = customer->name;
    return {};
}

void RequestRouter::resolveProgram(Call& call)
{
    auto program = callers::programOf(call.operation);
    auto* identity = identityOf(call.operation);
    // The owner parses the forwarded request again and must obtain the same program, turn and idempotency key. With all
    // three in the headers, the request can also be sent to another owner without running twice.
    if (identity != nullptr && program.empty() && call.modelCall() != nullptr && !identity->turn) {
        identity->turn = 1;
        setHeader(call.request.headers, "X-Turn", "1");
    }
    if (program.empty() && identity != nullptr) {
        program = identity->idempotencyKey.empty()
            ? this->context.settings.region + "." + core::randomHex(programIdBytes)
            : callers::programIdForKey(identity->idempotencyKey);
        identity->program = program;
        setHeader(call.request.headers, "X-Program-Id", program);
    }
    if (call.serviceCall() != nullptr && identity->idempotencyKey.empty() && !isRepeatable(call)) {
        identity->idempotencyKey = call.requestId;
        setHeader(call.request.headers, "Idempotency-Key", call.requestId);
    }
    call.program.program = program;
    call.partition = this->context.durable.partitionOf(call.program);
}

std::vector<std::string> RequestRouter::ownerCandidates(core::PartitionId partition) const
{
    std::vector<state::LiveNode> nodes;
    for (const auto& member : this->context.members)
        nodes.push_back({ member.node, member.region, member.leaving });
    const state::Partitions partitions(this->context.settings.partitionCount, this->context.settings.regions);
    std::vector<std::string> result;
    const auto recordedOwner = this->context.durable.ownerOf(partition);
    while (result.size() < maxCandidates) {
        const auto next = state::preferredOwner(partitions, partition, nodes);
        if (!next)
            break;
        result.push_back(*next);
        std::erase_if(nodes, [&](const state::LiveNode& node) { return node.name == *next; });
    }
    // The owner by the latest ownership rows may be a leaving node, which is never a preferred owner.
    const bool alive = std::any_of(this->context.members.begin(), this->context.members.end(),
        [&](const Member& member) { return member.node == recordedOwner; });
    if (alive && std::find(result.begin(), result.end(), recordedOwner) == result.end())
        result.push_back(recordedOwner);
    return result;
}

void RequestRouter::forward(Call& call, core::TimePoint now)
{
    for (const auto& node : this->ownerCandidates(call.partition)) {
        if (node == this->context.settings.node || call.triedNodes.contains(node))
            continue;
        call.phase = CallPhase::Forwarded;
        call.triedNodes.insert(node);
        this->context.effects.push_back(ForwardCall { call.id, node, call.request });
        return;
    }
    if (now - call.arrived > this->context.settings.ownerTimeout) {
        this->context.refuse(
            call, { ResultCode::PartitionUnavailable, "no node currently owns the program" }, shortRetryAfterMs);
        return;
    }
    call.triedNodes.clear();
    call.phase = CallPhase::AwaitsPartition;
    call.due = now + ownerRetryDelay;
}

void RequestRouter::onForwardAnswered(const ForwardAnswered& event, core::TimePoint now)
{
    auto* call = this->context.calls.find(event.call);
    if (call == nullptr || call->phase != CallPhase::Forwarded)
        return;
    if (event.code == static_cast<int>(ResultCode::PartitionUnavailable))
        this->forward(*call, now);
    else
        this->context.calls.erase(event.call);
}

void RequestRouter::onForwardFailed(const ForwardFailed& event, core::TimePoint now)
{
    auto* call = this->context.calls.find(event.call);
    if (call == nullptr || call->phase != CallPhase::Forwarded)
        return;
    if (event.sent && (call->modelCall() != nullptr || call->serviceCall() != nullptr)) {
        call->mayHaveRun = true;
        setHeader(call->request.headers, earlierAttemptHeader, "may have run");
    }
    const auto* identity = identityOf(call->operation);
    const bool hasExplicitTurn = call->modelCall() == nullptr || (identity != nullptr && identity->turn);
    if (!event.sent || hasExplicitTurn) {
        this->forward(*call, now);
        return;
    }
    this->context.refuse(*call,
        { ResultCode::PeerUnreachable, "the node that owns the program was lost before it answered",
            core::RunState::MayHaveRun },
        shortRetryAfterMs);
}

void RequestRouter::answerEntries(Call& call)
{
    std::vector<Member> available;
    for (const auto& member : this->context.members) {
        if (!member.leaving)
            available.push_back(member);
    }
    // Shuffles before the stable sort, so that callers are distributed over the nodes at the same distance.
    std::shuffle(available.begin(), available.end(), this->context.random);
    std::stable_sort(available.begin(), available.end(), [&](const Member& left, const Member& right) {
        return zoneDistance(left, this->context.settings) < zoneDistance(right, this->context.settings);
    });
    json entries = json::array();
    for (std::size_t index = 0; index < std::min(maxEntries, available.size()); ++index) {
        const auto& member = available[index];
        entries.push_back(
            { { "address", member.callerAddress }, { "zone", member.zone }, { "region", member.region } });
    }
    const json body { { "entries", entries }, { "keep_seconds", entriesValiditySeconds } };
    this->context.answer(call, 200, {}, body.dump());
}

void RequestRouter::answerHealth(Call& call)
{
    const bool ready = this->context.document != nullptr && !this->context.draining;
    const json body { { "ready", ready }, { "draining", this->context.draining },
        { "document_version", this->context.documentVersion },
        { "partitions", this->context.durable.servedPartitions().size() }, { "members", this->context.members.size() },
        { "store_available", this->context.durable.storeAvailable() }, { "calls", this->context.calls.size() - 1 } };
    this->context.answer(call, ready ? 200 : 503, {}, body.dump());
}

} // namespace lagoontiller::control
