#pragma once

#include "tests/support/StateNode.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoontiller::tests {

/// \brief Nodes that share one store under virtual time.
class StateWorld {
public:
    static constexpr core::Duration step = std::chrono::milliseconds(20);
    static constexpr core::Duration detection = std::chrono::seconds(1);

    StateWorld(std::uint64_t seed, std::size_t nodeCount, std::uint32_t partitionCount)
        : store(seed)
        , partitions(partitionCount, { "east", "west" })
        , seed(seed)
    {
        for (std::size_t index = 0; index < nodeCount; ++index) {
            this->hosts.push_back({ "n" + std::to_string(index), index % 2 == 0 ? "east" : "west" });
        }
        for (auto& host : this->hosts) {
            this->start(host);
        }
    }

    void advance(core::Duration duration)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->now += step;
            this->store.run(this->now);
            for (std::size_t index = 0; index < this->hosts.size(); ++index) {
                auto& host = this->hosts[index];
                if (host.node && !host.pausedAt) {
                    host.node->loop(this->viewOf(index), this->now);
                }
            }
        }
    }

    void kill(std::size_t index)
    {
        auto& host = this->hosts.at(index);
        if (host.node) {
            *host.node->alive = false;
            this->graveyard.push_back(std::move(host.node));
            host.diedAt = this->now;
            host.pausedAt.reset();
        }
    }

    void start(std::size_t index) { this->start(this->hosts.at(index)); }

    void pause(std::size_t index)
    {
        auto& host = this->hosts.at(index);
        if (host.node && !host.pausedAt) {
            host.pausedAt = this->now;
        }
    }

    void resume(std::size_t index) { this->hosts.at(index).pausedAt.reset(); }

    /// \brief Node `by` wrongly believes for two seconds that node `index` is dead.
    void suspect(std::size_t by, std::size_t index)
    {
        this->hosts.at(by).suspects[index] = this->now + std::chrono::seconds(2);
    }

    /// \brief Running nodes that believe they own the partition: two for a while after a wrong suspicion.
    [[nodiscard]] std::vector<StateNode*> serving(core::PartitionId partition)
    {
        std::vector<StateNode*> result;
        for (auto& host : this->hosts) {
            if (host.node && !host.pausedAt && host.node->owns(partition)) {
                result.push_back(host.node.get());
            }
        }
        return result;
    }

    /// \brief Ends all faults and runs until every partition is served; false after two minutes without that.
    [[nodiscard]] bool heal()
    {
        this->store.down = false;
        this->store.slow = false;
        this->store.fates.clear();
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->resume(index);
            this->start(index);
        }
        for (int second = 0; second < 120; ++second) {
            this->advance(std::chrono::seconds(1));
            if (second >= 5 && this->allServed()) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool allServed()
    {
        for (core::PartitionId partition = 0; partition < this->partitions.size(); ++partition) {
            std::size_t owners = 0;
            for (const auto& host : this->hosts) {
                owners += host.node && host.node->owns(partition) && !host.node->stream.hasPending(partition) ? 1 : 0;
            }
            if (owners != 1) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] const state::ProgramState* find(const core::ProgramKey& program)
    {
        const auto partition = this->partitions.partitionOf(program);
        const auto owners = this->serving(partition);
        return owners.empty() ? nullptr : owners.front()->stores.at(partition).find(program);
    }

    [[nodiscard]] StateNode* node(std::size_t index) { return this->hosts.at(index).node.get(); }

    FakeStore store;
    Observed observed;
    const state::Partitions partitions;
    core::TimePoint now = core::TimePoint(std::chrono::hours(1));

private:
    struct Host {
        std::string name;
        std::string region;
        std::unique_ptr<StateNode> node {};
        std::optional<core::TimePoint> pausedAt {};
        core::TimePoint diedAt {};
        std::map<std::size_t, core::TimePoint> suspects {};
        int runs = 0;
    };

    void start(Host& host)
    {
        if (!host.node) {
            host.runs += 1;
            this->seed += 2;
            host.node = std::make_unique<StateNode>(
                host.name, host.runs, this->seed, this->store, this->observed, this->partitions, this->now);
        }
    }

    [[nodiscard]] std::vector<state::LiveNode> viewOf(std::size_t viewer) const
    {
        std::vector<state::LiveNode> view;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            const auto& host = this->hosts[index];
            const auto suspected = this->hosts[viewer].suspects.find(index);
            const bool doubted = suspected != this->hosts[viewer].suspects.end() && this->now < suspected->second;
            const bool silent = host.pausedAt && this->now - *host.pausedAt > detection;
            const bool gone = !host.node && this->now - host.diedAt > detection;
            if (index == viewer || (!doubted && !silent && !gone)) {
                view.push_back({ host.name, host.region });
            }
        }
        return view;
    }

    std::uint64_t seed;
    std::vector<Host> hosts;
    std::vector<std::unique_ptr<StateNode>> graveyard;
};

} // namespace lagoontiller::tests
