#pragma once

#include "control/Context.h"

#include <map>
#include <set>

namespace lagoontiller::control {

/// \brief Life of programs at their owner: status, stored turns, end, expiry, and release of engine memory.
class ProgramLifecycle {
public:
    explicit ProgramLifecycle(Context& context)
        : context(context)
    {
    }

    void showStatus(Call& call);
    void fetchTurn(Call& call);
    void endProgram(Call& call, core::TimePoint now);
    void onEndRecorded(const EndRecorded& recorded, const std::optional<core::Error>& error, core::TimePoint now);
    void onCacheReleased(const CacheReleased& event, core::TimePoint now);
    /// \brief Resumes unfinished releases of a recovered partition.
    void onPartitionServed(core::PartitionId partition, core::TimePoint now);
    void onPartitionDropped(const std::vector<core::ProgramKey>& programs);
    void tick(core::TimePoint now);
    /// \brief Programs whose end was recorded since the last call of this function.
    [[nodiscard]] std::vector<core::ProgramKey> takeEnded() { return std::exchange(this->endedPrograms, {}); }

    [[nodiscard]] std::size_t openReleases() const noexcept { return this->releases.size(); }

private:
    struct Release {
        core::TimePoint due {};
        int attempts = 0;
        bool inFlight = false;
    };
    using ReleaseKey = std::pair<core::ProgramKey, std::string>;

    [[nodiscard]] core::Expected<void> recordEnd(
        const core::ProgramKey& program, const std::string& reason, Continuation continuation, core::TimePoint now);
    void startReleases(const core::ProgramKey& program, core::TimePoint now);
    void recordRelease(const ReleaseKey& key, core::TimePoint now);
    void expirePrograms(core::TimePoint now);
    /// \brief Engines that may hold memory of the program.
    [[nodiscard]] std::set<std::string> endpointsHoldingCache(
        const core::ProgramKey& key, const state::ProgramState& program) const;

    Context& context;
    std::map<ReleaseKey, Release> releases;
    std::vector<core::ProgramKey> endedPrograms;
    /// \brief Programs that an earlier owner served: while the store was away it may have used engines that it could
    /// not record before it died.
    std::set<core::ProgramKey> takenOver;
    std::map<core::ProgramKey, core::TimePoint> forgetAt;
    core::TimePoint nextExpiryCheck {};
};

} // namespace lagoontiller::control
