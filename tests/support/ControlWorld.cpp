#include "tests/support/ControlWorld.h"

#include <algorithm>

namespace lagoontiller::tests {

namespace {

constexpr std::int64_t unixBaseMs = 1'790'000'000'000;
constexpr std::uint32_t partitionCount = 4;

} // namespace

ControlWorld::ControlWorld(std::size_t nodes, std::uint64_t seed, ControlDocumentValues values)
    : store(seed)
    , endpoints([this](core::Duration delay, std::function<void()> function) { this->at(delay, std::move(function)); })
    , document(controlDocument(values))
    , seed(seed)
{
    for (std::size_t index = 0; index < nodes; ++index)
        this->hosts.push_back({ "n" + std::to_string(index), index % 2 == 0 ? "east" : "west" });
    for (std::size_t index = 0; index < nodes; ++index)
        this->start(index);
}

std::int64_t ControlWorld::unixMs() const
{
    return unixBaseMs + std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch()).count();
}

void ControlWorld::at(core::Duration delay, std::function<void()> function)
{
    this->events.emplace(this->now + delay, std::move(function));
}

void ControlWorld::deliver(std::size_t node, const std::weak_ptr<Process>& process, core::Duration delay,
    std::function<void(Process&)> function)
{
    this->at(delay, [this, node, process, function = std::move(function)] {
        const auto alive = process.lock();
        if (!alive || this->hosts[node].process != alive)
            return;
        if (this->hosts[node].paused)
            alive->inbox.push_back([alive = alive.get(), function] { function(*alive); });
        else
            function(*alive);
    });
}

void ControlWorld::post(
    std::size_t node, const std::weak_ptr<Process>& process, core::Duration delay, control::Event event)
{
    this->deliver(
        node, process, delay, [this, node, event = std::move(event)](Process&) { this->handle(node, event); });
}

void ControlWorld::handle(std::size_t node, const control::Event& event)
{
    const auto process = this->hosts[node].process;
    if (!process)
        return;
    const auto effects = process->controller->handle(event, this->now, this->unixMs());
    for (const auto& effect : effects) {
        // A test may kill the node between two effects.
        if (this->hosts[node].process != process)
            return;
        if (this->onEffect)
            this->onEffect(node, effect);
        if (this->hosts[node].process != process)
            return;
        this->perform(node, effect);
    }
}

void ControlWorld::advance(core::Duration duration)
{
    const auto end = this->now + duration;
    while (this->now < end) {
        this->now += step;
        this->store.run(this->now);
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            const auto event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            event();
        }
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (this->hosts[index].process && !this->hosts[index].paused)
                this->handle(index, control::Tick {});
        }
    }
}

bool ControlWorld::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const auto end = this->now + limit;
    while (!condition()) {
        if (this->now >= end)
            return false;
        this->advance(step);
    }
    return true;
}

bool ControlWorld::settle(core::Duration limit)
{
    return this->runUntil(
        [this] {
            std::set<core::PartitionId> served;
            for (const auto& host : this->hosts) {
                if (!host.process || host.paused)
                    continue;
                const auto& durable = host.process->controller->state().durable;
                for (const auto partition : durable.servedPartitions()) {
                    if (durable.serves(partition))
                        served.insert(partition);
                }
            }
            return served.size() == partitionCount;
        },
        limit);
}

void ControlWorld::start(std::size_t node)
{
    auto& host = this->hosts.at(node);
    if (host.process)
        return;
    host.runs += 1;
    host.paused = host.leaving = host.drained = false;
    host.seenAlive = true;
    control::ControllerSettings settings;
    settings.node = host.name;
    settings.region = host.region;
    settings.zone = host.region + "-a";
    settings.runId = host.name + "-r" + std::to_string(host.runs);
    settings.partitionCount = partitionCount;
    settings.regions = { "east", "west" };
    settings.seed = this->seed * 1000 + node * 10 + static_cast<std::uint64_t>(host.runs);
    host.process = std::make_shared<Process>();
    host.process->controller
        = std::make_unique<control::Controller>(std::move(settings), host.process->metrics, this->now);
    this->handle(node, control::DocumentChanged { this->documentVersion, this->document });
    if (this->vms)
        this->handle(node, control::VmListChanged { *this->vms });
    this->publishMembers();
}

void ControlWorld::publishMembers()
{
    std::vector<control::Member> members;
    for (const auto& host : this->hosts) {
        if (host.seenAlive && (host.process || host.runs > 0))
            members.push_back({ host.name, host.name + ":1", host.region + "-a", host.region, host.leaving });
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].process)
            this->post(index, this->hosts[index].process, core::Duration(0), control::MembersChanged { members });
    }
}

void ControlWorld::loseSeen(std::size_t node)
{
    this->hosts[node].seenAlive = false;
    this->publishMembers();
    for (const auto& forward : std::vector(this->forwards)) {
        if (forward->to == node)
            this->endForward(forward, false);
    }
}

void ControlWorld::kill(std::size_t node)
{
    auto& host = this->hosts.at(node);
    if (!host.process)
        return;
    for (const auto& answer : host.process->callers) {
        if (!answer->ended)
            answer->ended = true;
    }
    // The process stays until the end of the step: it may be on the call stack.
    this->at(step, [process = host.process] {});
    host.process.reset();
    host.paused = false;
    this->at(detection, [this, node, runs = host.runs] {
        if (!this->hosts[node].process && this->hosts[node].runs == runs)
            this->loseSeen(node);
    });
}

void ControlWorld::pause(std::size_t node)
{
    auto& host = this->hosts.at(node);
    if (!host.process || host.paused)
        return;
    host.paused = true;
    this->at(detection, [this, node, process = std::weak_ptr(host.process)] {
        if (this->hosts[node].process == process.lock() && this->hosts[node].paused)
            this->loseSeen(node);
    });
}

void ControlWorld::resume(std::size_t node)
{
    auto& host = this->hosts.at(node);
    if (!host.process || !host.paused)
        return;
    host.paused = false;
    const auto process = host.process;
    for (const auto& function : std::exchange(process->inbox, {})) {
        if (host.process == process)
            function();
    }
    if (!host.seenAlive) {
        host.seenAlive = true;
        this->at(std::chrono::milliseconds(500), [this] { this->publishMembers(); });
    }
}

void ControlWorld::drain(std::size_t node)
{
    this->hosts.at(node).leaving = true;
    this->post(node, this->hosts.at(node).process, core::Duration(0), control::DrainRequested {});
    this->publishMembers();
}

void ControlWorld::setDocument(std::shared_ptr<const document::Document> newDocument)
{
    this->document = std::move(newDocument);
    ++this->documentVersion;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].process)
            this->post(index, this->hosts[index].process, hop,
                control::DocumentChanged { this->documentVersion, this->document });
    }
}

void ControlWorld::setVmList(vmlist::VmList list)
{
    this->vms = std::move(list);
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].process)
            this->post(index, this->hosts[index].process, hop, control::VmListChanged { *this->vms });
    }
}

vmlist::VmList ControlWorld::documentVms() const
{
    vmlist::VmList list;
    list.version = this->vms ? this->vms->version + 1 : 1;
    for (const auto& vm : this->document->vms()) {
        if (vm.role == document::VmRole::Endpoint) {
            const auto* zone = this->document->zone(vm.zone);
            list.vms.push_back({ vm.name, vm.address, true, vm.service, zone->region, vm.zone, vmlist::VmState::Live });
        }
    }
    return list;
}

std::size_t ControlWorld::ownerOf(const core::ProgramKey& program) const
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        const auto& host = this->hosts[index];
        if (!host.process || host.paused)
            continue;
        const auto& durable = host.process->controller->state().durable;
        if (durable.serves(durable.partitionOf(program)))
            return index;
    }
    return this->hosts.size();
}

const control::Controller& ControlWorld::controller(std::size_t node) const
{
    return *this->hosts.at(node).process->controller;
}

void ControlWorld::accept(
    std::size_t node, callers::IncomingRequest request, callers::ResponseStreamPointer response, bool forwarded)
{
    auto& process = *this->hosts[node].process;
    const auto call = ++process.lastCall;
    process.open.emplace(call, OpenCall { std::move(response), nullptr });
    this->handle(node, control::CallArrived { call, std::move(request), forwarded });
}

Answer ControlWorld::send(std::size_t node, callers::IncomingRequest request)
{
    auto answer = std::make_shared<CallerAnswer>();
    const auto process = this->hosts.at(node).process;
    if (!process) {
        answer->ended = true;
        return answer;
    }
    process->callers.push_back(answer);
    callers::ResponseStream::Target target;
    target.begin = [answer](int status, const http::Headers& headers) {
        answer->begun = true;
        answer->status = status;
        answer->headers = headers;
    };
    target.data = [answer](const std::string& bytes) { answer->body += answer->ended ? "" : bytes; };
    target.end = [answer](bool complete) {
        answer->complete = !answer->ended && complete;
        answer->ended = true;
    };
    target.respond = [target](int status, const http::Headers& headers, std::string body) {
        target.begin(status, headers);
        target.data(std::move(body));
        target.end(true);
    };
    auto response = std::make_shared<callers::ResponseStream>(std::move(target));
    this->deliver(node, process, hop, [this, node, request = std::move(request), response](Process&) {
        this->accept(node, request, response, false);
    });
    return answer;
}

} // namespace lagoontiller::tests
