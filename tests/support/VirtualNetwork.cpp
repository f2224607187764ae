#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

std::string addressOf(std::size_t index)
{
    return "127.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":8100";
}

constexpr std::size_t zones = 5;

} // namespace

VirtualNetwork::VirtualNetwork(NetworkOptions options)
    : options(std::move(options))
    , generator(this->options.seed)
    , nodes(this->options.nodes)
{
    for (std::size_t seed = 0; seed < this->options.seeds; ++seed)
        this->options.membership.seeds.push_back(addressOf(seed));
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->indexByAddress.emplace(addressOf(index), index);
        this->start(index);
        // Ticks of the nodes are spread over the interval as they are in real processes.
        const auto offset = core::Duration(this->generator() % this->options.tickInterval.count());
        this->schedule(this->time + offset, index, nullptr);
    }
}

std::string VirtualNetwork::nameOf(std::size_t index)
{
    return "node-" + std::to_string(1000 + index);
}

Member VirtualNetwork::recordOf(std::size_t index) const
{
    Member record;
    record.node = nameOf(index);
    record.address = addressOf(index);
    record.callerAddress = record.address;
    record.callerAddress.back() = '1';
    record.zone = "zone-" + std::to_string(index % zones);
    record.region = "region-" + std::to_string(index % zones % 2);
    // Like Unix milliseconds at the start of the process.
    record.incarnation = 1'790'000'000'000
        + static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->time.time_since_epoch()).count());
    return record;
}

void VirtualNetwork::start(std::size_t index)
{
    auto& node = this->nodes[index];
    node.generator = std::make_unique<RandomGenerator>(this->generator());
    node.membership
        = std::make_unique<Membership>(this->recordOf(index), this->options.membership, *node.generator, this->time);
    node.isRunning = true;
    node.isPaused = false;
    node.inbox.clear();
}

void VirtualNetwork::restart(std::size_t index)
{
    this->start(index);
}

void VirtualNetwork::resume(std::size_t index)
{
    auto& node = this->nodes[index];
    node.isPaused = false;
    const auto kept = std::move(node.inbox);
    node.inbox.clear();
    for (const auto& envelope : kept)
        this->handle(index, *envelope);
}

void VirtualNetwork::heal()
{
    for (auto& node : this->nodes)
        node.group = 0;
}

void VirtualNetwork::schedule(core::TimePoint at, std::size_t node, std::shared_ptr<wire::Envelope> envelope)
{
    this->events.push(Event { at, this->eventCount++, node, std::move(envelope) });
}

void VirtualNetwork::run(core::Duration length)
{
    const auto end = this->time + length;
    while (!this->events.empty() && this->events.top().at <= end) {
        const auto event = this->events.top();
        this->events.pop();
        this->time = event.at;
        this->deliver(event);
    }
    this->time = end;
}

std::optional<core::Duration> VirtualNetwork::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const auto started = this->time;
    while (!condition()) {
        if (this->time - started >= limit)
            return std::nullopt;
        this->run(std::chrono::milliseconds(50));
    }
    return std::chrono::duration_cast<core::Duration>(this->time - started);
}

void VirtualNetwork::deliver(const Event& event)
{
    auto& node = this->nodes[event.node];
    if (!event.envelope) {
        this->schedule(this->time + this->options.tickInterval, event.node, nullptr);
        if (!node.isRunning || node.isPaused)
            return;
        this->perform(event.node, node.membership->tick(this->time));
        if (this->hook)
            this->hook(event.node, nullptr, this->time);
        return;
    }
    if (!node.isRunning)
        return;
    if (node.isPaused)
        node.inbox.push_back(event.envelope);
    else
        this->handle(event.node, *event.envelope);
}

void VirtualNetwork::handle(std::size_t index, const wire::Envelope& envelope)
{
    auto& node = this->nodes[index];
    node.receivedBytes += envelope.ByteSizeLong() + messageOverheadBytes;
    this->perform(index, node.membership->handle(envelope, this->time));
    if (this->hook)
        this->hook(index, &envelope, this->time);
}

void VirtualNetwork::perform(std::size_t index, MembershipEffects effects)
{
    for (auto& effect : effects) {
        if (auto* message = std::get_if<SendMessage>(&effect))
            this->send(index, std::move(*message));
        else if (const auto* change = std::get_if<MemberChanged>(&effect))
            this->deathCount += change->after.state == wire::DEAD ? 1 : 0;
    }
}

void VirtualNetwork::send(std::size_t from, SendMessage message)
{
    auto& sender = this->nodes[from];
    if (!sender.membership->fillEnvelope(message))
        return;
    ++sender.sentMessages;
    sender.sentBytes += message.envelope.ByteSizeLong() + messageOverheadBytes;
    const auto receiver = this->indexByAddress.find(message.address);
    if (receiver == this->indexByAddress.end() || this->nodes[receiver->second].group != sender.group)
        return;
    if (drawBernoulli(this->generator, this->options.loss))
        return;
    const auto spread = (this->options.maxDelay - this->options.minDelay).count() + 1;
    const auto delay = this->options.minDelay + core::Duration(this->generator() % spread);
    this->schedule(this->time + delay, receiver->second, std::make_shared<wire::Envelope>(std::move(message.envelope)));
}

bool VirtualNetwork::isConverged() const
{
    std::vector<std::string> expected;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (this->nodes[index].isRunning)
            expected.push_back(nameOf(index));
    }
    // All counts first: comparing names while one count differs took half of the time of a test with 780 nodes.
    const auto takesPart = [](const VirtualNode& node) { return node.isRunning && !node.isPaused; };
    const auto isCountSame
        = [&](const VirtualNode& node) { return node.membership->peers().size() + 1 == expected.size(); };
    // With equal counts it suffices that every expected node is a living member.
    const auto isSame = [&](const VirtualNode& node) {
        return std::all_of(
            expected.begin(), expected.end(), [&](const std::string& name) { return node.membership->isLive(name); });
    };
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const VirtualNode& node) {
        return !takesPart(node) || isCountSame(node);
    }) && std::all_of(this->nodes.begin(), this->nodes.end(), [&](const VirtualNode& node) {
        return !takesPart(node) || isSame(node);
    });
}

void VirtualNetwork::resetTraffic()
{
    for (auto& node : this->nodes) {
        node.sentMessages = 0;
        node.sentBytes = 0;
        node.receivedBytes = 0;
    }
}

} // namespace lagoontiller::nodes::support
