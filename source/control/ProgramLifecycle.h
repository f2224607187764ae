#pragma once

#include "control/Context.h"

#include <map>
#include <set>

namespace lagoontiller::control {

/// \brief Manages programs on the node that owns them: status, recorded turns, end, expiry and release of KV caches.
class ProgramLifecycle {
public:
    explicit ProgramLifecycle(Context& context)
        : context(context)
    {
    }

    /// \brief Answers with the status of the program.
    void showStatus(Call& call);
    /// \brief Answers with the recorded answer of a turn.
    void fetchTurn(Call& call);
    /// \brief Ends a program and its sub-agents at the request of the caller.
    void endProgram(Call& call, core::TimePoint now);
    void onEndRecorded(const EndRecorded& recorded, const std::optional<core::Error>& error, core::TimePoint now);
    void onCacheReleased(const CacheReleased& event, core::TimePoint now);
    /// \brief Resumes the unconfirmed cache releases of a recovered partition.
    void onPartitionServed(core::PartitionId partition, core::TimePoint now);
    void onPartitionDropped(const std::vector<core::ProgramKey>& programs);
    void tick(core::TimePoint now);
    /// \brief Programs whose end was appended since the previous call of this function.
    [[nodiscard]] std::vector<core::ProgramKey> takeEnded() { return std::exchange(this->endedPrograms, {}); }

    [[nodiscard]] std::size_t openReleases() const noexcept { return this->releases.size(); }

private:
    /// \brief Release of a program's KV cache on one endpoint, repeated until the endpoint confirms it.
    struct Release {
        core::TimePoint due {};
        int attempts = 0;
        bool inFlight = false;
    };
    using ReleaseKey = std::pair<core::ProgramKey, std::string>;

    /// \brief Appends the end of a program and of its sub-agents. Error OwnerChanged, or that of
    /// `DurableState::append`.
    [[nodiscard]] core::Expected<void> recordEnd(
        const core::ProgramKey& program, const std::string& reason, Continuation continuation, core::TimePoint now);
    /// \brief Starts the cache releases of an ended program and schedules its removal from memory.
    void startReleases(const core::ProgramKey& program, core::TimePoint now);
    /// \brief Records that a release needs no further attempts.
    void recordRelease(const ReleaseKey& key, core::TimePoint now);
    /// \brief Ends programs that exceed the wall time of their class, and removes long-ended ones from memory.
    void expirePrograms(core::TimePoint now);
    /// \brief Addresses of the engines that may hold KV cache of the program.
    [[nodiscard]] std::set<std::string> endpointsHoldingCache(
        const core::ProgramKey& key, const state::ProgramState& program) const;

    Context& context;
    std::map<ReleaseKey, Release> releases;
    std::vector<core::ProgramKey> endedPrograms;
    /// \brief Programs that a previous owner served. While the store was unavailable, it may have used engines that it
    /// did not record before it died.
    std::set<core::ProgramKey> takenOver;
    /// \brief When ended root programs are removed from memory.
    std::map<core::ProgramKey, core::TimePoint> forgetAt;
    core::TimePoint nextExpiryCheck {};
};

} // namespace lagoontiller::control
