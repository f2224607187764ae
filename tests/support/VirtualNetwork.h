#pragma once

#include "nodes/Membership.h"

#include <functional>
#include <memory>
#include <queue>

namespace lagoontiller::nodes::support {

/// \brief Conditions of the simulated links.
struct NetworkOptions {
    std::size_t nodes = 3;
    std::size_t seeds = 3;
    double loss = 0;
    core::Duration minDelay = std::chrono::milliseconds(1);
    core::Duration maxDelay = std::chrono::milliseconds(10);
    core::Duration tickInterval = std::chrono::milliseconds(50);
    std::uint64_t seed = 1;
    MembershipSettings membership;
};

/// \brief One simulated process. While paused it handles nothing and keeps what arrives; a dead one loses it.
struct VirtualNode {
    std::unique_ptr<RandomGenerator> generator;
    std::unique_ptr<Membership> membership;
    bool isRunning = true;
    bool isPaused = false;
    int group = 0;
    std::vector<std::shared_ptr<wire::Envelope>> inbox;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// \brief In-memory network under virtual time with loss, delay, cuts between groups and pauses of nodes.
class VirtualNetwork {
public:
    /// Sees each message that a node handles and each tick (null envelope), after the membership did.
    using Hook = std::function<void(std::size_t, const wire::Envelope*, core::TimePoint)>;

    explicit VirtualNetwork(NetworkOptions options);

    void run(core::Duration length);
    /// \brief Runs until `condition` holds, checked every 50 ms; nullopt when `limit` passes first.
    [[nodiscard]] std::optional<core::Duration> runUntil(const std::function<bool()>& condition, core::Duration limit);

    void kill(std::size_t index) { this->nodes[index].isRunning = false; }
    /// \brief Starts a new process under the name and address of a killed one.
    void restart(std::size_t index);
    void pause(std::size_t index) { this->nodes[index].isPaused = true; }
    void resume(std::size_t index);
    /// \brief Only nodes of the same group exchange messages; all start in group 0.
    void setGroup(std::size_t index, int group) { this->nodes[index].group = group; }
    void heal();
    void setLoss(double loss) { this->options.loss = loss; }
    void setHook(Hook hook) { this->hook = std::move(hook); }

    void send(std::size_t from, SendMessage message);
    void perform(std::size_t index, MembershipEffects effects);

    [[nodiscard]] core::TimePoint now() const { return this->time; }
    [[nodiscard]] std::size_t size() const { return this->nodes.size(); }
    [[nodiscard]] Membership& membership(std::size_t index) { return *this->nodes[index].membership; }
    [[nodiscard]] VirtualNode& node(std::size_t index) { return this->nodes[index]; }
    /// \brief Whether every running node holds exactly the running nodes for living.
    [[nodiscard]] bool isConverged() const;
    /// \brief Changes of a member to DEAD that any node saw.
    [[nodiscard]] std::uint64_t deaths() const { return this->deathCount; }
    void resetTraffic();
    [[nodiscard]] static std::string nameOf(std::size_t index);

private:
    struct Event {
        core::TimePoint at;
        std::uint64_t order;
        std::size_t node;
        std::shared_ptr<wire::Envelope> envelope;
        [[nodiscard]] bool operator>(const Event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void start(std::size_t index);
    void deliver(const Event& event);
    void handle(std::size_t index, const wire::Envelope& envelope);
    void schedule(core::TimePoint at, std::size_t node, std::shared_ptr<wire::Envelope> envelope);
    [[nodiscard]] Member recordOf(std::size_t index) const;

    NetworkOptions options;
    RandomGenerator generator;
    core::TimePoint time { std::chrono::hours(1) };
    std::vector<VirtualNode> nodes;
    std::unordered_map<std::string, std::size_t> indexByAddress;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventCount = 0;
    std::uint64_t deathCount = 0;
    Hook hook;
};

/// \brief Bytes that one message costs on the wire besides its payload: ZMTP and CURVE framing (about 40), TCP and IP
/// headers (40).
constexpr std::uint64_t messageOverheadBytes = 80;

} // namespace lagoontiller::nodes::support
