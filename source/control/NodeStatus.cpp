#include "control/NodeStatus.h"

#include <algorithm>
#include <array>
#include <map>

namespace lagoontiller::control {

namespace {

using nlohmann::json;

// Limits the size of the page; the counts by class include all programs.
constexpr std::size_t maxListedPrograms = 20;

json membersStatus(const Context& context, const DocumentVersionOf& documentVersionOf)
{
    json list = json::array();
    for (const auto& member : context.members) {
        const bool isOwn = member.node == context.settings.node;
        const auto version = isOwn ? context.documentVersion : documentVersionOf(member.node);
        list.push_back({ { "node", member.node }, { "zone", member.zone }, { "region", member.region },
            { "caller_address", member.callerAddress }, { "leaving", member.leaving },
            { "document_version", version } });
    }
    return list;
}

std::pair<std::string_view, std::string_view> endpointState(const policy::EndpointTable::Row& row)
{
    if (row.spec.state == policy::EndpointState::Leaving)
        return { "leaving", "the VM list says that it is leaving; it gets no new calls" };
    if (row.spec.state == policy::EndpointState::Gone)
        return { "gone", "it is not in the VM list" };
    if (row.traffic.share <= 0)
        return { "ejected", "it failed, stopped responding or is much slower than the other endpoints of its service" };
    if (row.traffic.probing)
        return { "probing", "one repeatable call is sent to test whether it has recovered" };
    if (row.traffic.share < 1)
        return { "slow start", "it recovered recently and its share of the traffic is being raised" };
    return { "live", "" };
}

json endpointsStatus(const Dispatcher& dispatcher, core::TimePoint now)
{
    json list = json::array();
    for (const auto& [address, id] : dispatcher.endpoints()) {
        const auto& row = dispatcher.schedulerState().router().endpoints().row(id);
        const auto& load = dispatcher.schedulerState().router().load(id);
        const auto [state, reason] = endpointState(row);
        json endpoint { { "address", address }, { "service", row.spec.service }, { "zone", row.spec.zone },
            { "region", row.spec.region }, { "state", state }, { "reason", reason },
            { "traffic_share", row.traffic.share }, { "calls_of_this_node", load.ownRequests() },
            { "calls_of_others", load.otherRequests() } };
        if (load.sampledAt() != core::TimePoint {})
            endpoint["load_report_age_ms"] = (now - load.sampledAt()).count() / 1000;
        list.push_back(std::move(endpoint));
    }
    return list;
}

struct OpenProgram {
    const core::ProgramKey* key = nullptr;
    const state::ProgramState* state = nullptr;
};

std::vector<OpenProgram> openPrograms(const DurableState& durable)
{
    std::vector<OpenProgram> result;
    for (const auto partition : durable.servedPartitions()) {
        for (const auto& [key, program] : durable.programStore(partition)->all()) {
            if (program.opened && !program.ended)
                result.push_back({ &key, &program });
        }
    }
    return result;
}

json programsStatus(const DurableState& durable)
{
    auto programs = openPrograms(durable);
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    for (const auto& each : programs)
        ++counts[{ each.key->customer, each.state->programClass }];
    json byClass = json::array();
    for (const auto& [labels, count] : counts)
        byClass.push_back({ { "customer", labels.first }, { "class", labels.second }, { "count", count } });
    const auto listedCount = std::min(maxListedPrograms, programs.size());
    std::partial_sort(programs.begin(), programs.begin() + static_cast<std::ptrdiff_t>(listedCount), programs.end(),
        [](const OpenProgram& left, const OpenProgram& right) {
            return left.state->openedUnixMs < right.state->openedUnixMs;
        });
    json oldest = json::array();
    for (std::size_t index = 0; index < listedCount; ++index) {
        const auto& [key, program] = programs[index];
        const auto budget = durable.budgetOf(state::rootOf(*key));
        oldest.push_back({ { "customer", key->customer }, { "program", key->program },
            { "class", program->programClass }, { "opened_unix_ms", program->openedUnixMs },
            { "turns", program->lastContiguousTurn() }, { "root_turns", budget.turns }, { "root_calls", budget.calls },
            { "root_tokens", budget.usedTokens }, { "document_version", program->documentVersion } });
    }
    return { { "under_way", programs.size() }, { "by_class", std::move(byClass) }, { "oldest", std::move(oldest) } };
}

json callPhases(const CallTable& calls)
{
    std::map<std::string_view, std::size_t> counts;
    (void)calls.select([&counts](const Call& call) {
        ++counts[name(call.phase)];
        return false;
    });
    json result = json::object();
    for (const auto& [phase, count] : counts)
        result[std::string(phase)] = count;
    return result;
}

std::string label(const core::MetricLabels& labels, std::string_view name)
{
    const auto found
        = std::find_if(labels.begin(), labels.end(), [name](const auto& each) { return each.first == name; });
    return found == labels.end() ? std::string() : found->second;
}

json refusalsStatus(const core::MetricRegistry& metrics)
{
    json list = json::array();
    for (const auto& [labels, count] : metrics.counters("lagoontiller_refusals_total")) {
        const auto codeName = label(labels, "code");
        const auto codes = core::allResultCodes();
        const auto code = std::find_if(
            codes.begin(), codes.end(), [&codeName](core::ResultCode each) { return core::name(each) == codeName; });
        list.push_back({ { "customer", label(labels, "customer") }, { "name", codeName },
            { "code", code == codes.end() ? 0 : static_cast<int>(*code) }, { "count", count } });
    }
    return list;
}

json histogramsStatus(const core::MetricRegistry& metrics)
{
    json list = json::array();
    for (const auto& [name, labels] : metrics.histograms()) {
        json buckets = json::array();
        for (const auto& bucket : metrics.buckets(name, labels))
            buckets.push_back({ { "upper", bucket.upperBound }, { "count", bucket.cumulativeCount } });
        list.push_back({ { "name", name }, { "customer", label(labels, "customer") },
            { "class", label(labels, "class") }, { "buckets", std::move(buckets) } });
    }
    return list;
}

} // namespace

json nodeStatus(const Context& context, const DocumentVersionOf& documentVersionOf, core::TimePoint now)
{
    const auto& durable = context.durable;
    return { { "node", context.settings.node }, { "zone", context.settings.zone },
        { "region", context.settings.region }, { "document_version", context.documentVersion },
        { "members", membersStatus(context, documentVersionOf) }, { "partitions", durable.servedPartitions().size() },
        { "all_partitions", context.settings.partitionCount }, { "calls", context.calls.size() },
        { "call_phases", callPhases(context.calls) }, { "store_available", durable.storeAvailable() },
        { "store_writes", durable.storeWrites() }, { "store_reads", durable.storeReads() },
        { "state_bytes", durable.memoryBytes() }, { "draining", context.draining },
        { "vm_list_known", context.dispatcher.hasVmList() }, { "endpoints", endpointsStatus(context.dispatcher, now) },
        { "programs", programsStatus(durable) }, { "refusals", refusalsStatus(context.metrics) },
        { "histograms", histogramsStatus(context.metrics) } };
}

} // namespace lagoontiller::control
