#pragma once

#include "control/Context.h"

#include <optional>

namespace lagoontiller::control {

/// \brief The side towards callers: authentication, parsing, and finding the owner of a program.
class RequestRouter {
public:
    explicit RequestRouter(Context& context)
        : context(context)
    {
    }

    /// \brief Reads the request. Answers it at once where no program is concerned or where it is refused; otherwise
    /// returns the call, located at its partition.
    [[nodiscard]] Call* admit(const CallArrived& event, core::TimePoint now);

    /// \brief Passes the call to the next node that may own its program. Waits and tries again when all have refused.
    void forward(Call& call, core::TimePoint now);
    void onForwardAnswered(const ForwardAnswered& event, core::TimePoint now);
    void onForwardFailed(const ForwardFailed& event, core::TimePoint now);

    /// \brief Nodes that may own the partition, most likely first.
    [[nodiscard]] std::vector<std::string> ownerCandidates(core::PartitionId partition) const;

private:
    void answerEntries(Call& call);
    void answerHealth(Call& call);
    [[nodiscard]] core::Expected<void> authenticate(Call& call) const;
    void resolveProgram(Call& call);

    Context& context;
};

} // namespace lagoontiller::control
