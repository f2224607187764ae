#pragma once

#include "control/Context.h"

#include <map>
#include <set>

namespace lagoontiller::control {

/// \brief Life of programs at their owner: status, stored turns, end, expiry, and release of engine memory.
class Programs {
public:
    explicit Programs(Context& context)
        : context(context)
    {
    }

    void show(Call& call);
    void fetchTurn(Call& call);
    void end(Call& call, core::TimePoint now);
    void onEndRecorded(const EndRecorded& recorded, const std::optional<core::Error>& error, core::TimePoint now);
    void onMemoryReleased(const MemoryReleased& event, core::TimePoint now);
    /// \brief Resumes unfinished releases of a recovered partition.
    void onPartitionServed(core::PartitionId partition, core::TimePoint now);
    void onPartitionDropped(const std::vector<core::ProgramKey>& programs);
    void tick(core::TimePoint now);
    /// \brief Programs whose end was recorded since the last call of this function.
    [[nodiscard]] std::vector<core::ProgramKey> takeEnded() { return std::exchange(this->ended, {}); }

    [[nodiscard]] std::size_t openReleases() const noexcept { return this->releases.size(); }

private:
    struct Release {
        core::TimePoint due {};
        int tries = 0;
        bool inFlight = false;
    };
    using ReleaseKey = std::pair<core::ProgramKey, std::string>;

    [[nodiscard]] core::Expected<void> recordEnd(
        const core::ProgramKey& program, const std::string& reason, Purpose purpose, core::TimePoint now);
    void startReleases(const core::ProgramKey& program, core::TimePoint now);
    void confirm(const ReleaseKey& key, core::TimePoint now);
    void expirePrograms(core::TimePoint now);
    /// \brief Engines that may hold memory of the program.
    [[nodiscard]] std::set<std::string> enginesOf(
        const core::ProgramKey& key, const state::ProgramState& program) const;

    Context& context;
    std::map<ReleaseKey, Release> releases;
    std::vector<core::ProgramKey> ended;
    /// \brief Programs that an earlier owner served: while the store was away it may have used engines that it could
    /// not record before it died.
    std::set<core::ProgramKey> recovered;
    std::map<core::ProgramKey, core::TimePoint> forgetAt;
    core::TimePoint nextExpiry {};
};

} // namespace lagoontiller::control
