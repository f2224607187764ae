#pragma once

#include "control/Context.h"

#include <optional>

namespace lagoontiller::control {

/// \brief Parses and authenticates callers' requests and forwards them to the node that owns their program.
class RequestRouter {
public:
    explicit RequestRouter(Context& context)
        : context(context)
    {
    }

    /// \brief Parses and authenticates a request. Returns the call with its program and partition, or nullptr if the
    /// request has been refused or, because it concerns no program, answered.
    [[nodiscard]] Call* admit(const CallArrived& event, core::TimePoint now);

    /// \brief Forwards the call to the next candidate owner. When all candidates have refused it, starts again after a
    /// delay, until `ownerTimeout`.
    void forward(Call& call, core::TimePoint now);
    void onForwardAnswered(const ForwardAnswered& event, core::TimePoint now);
    /// \brief Forwards the call to another candidate. Refuses it if it may have run and could run twice.
    void onForwardFailed(const ForwardFailed& event, core::TimePoint now);

    /// \brief Nodes that may own the partition, in order of preference, followed by the owner of the latest ownership
    /// rows.
    [[nodiscard]] std::vector<std::string> ownerCandidates(core::PartitionId partition) const;

private:
    void answerEntries(Call& call);
    void answerHealth(Call& call);
    /// \brief Sets the customer of the call. Errors: NoDocument, UnknownKey, or that of a missing or malformed key.
    [[nodiscard]] core::Expected<void> authenticate(Call& call) const;
    /// \brief Sets program, partition and, where the caller sent none, turn and idempotency key.
    void resolveProgram(Call& call);

    Context& context;
};

} // namespace lagoontiller::control
