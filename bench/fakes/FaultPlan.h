#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::fakes {

enum class FaultKind : int {
    /// \brief The stand-in does not listen and resets its connections.
    Down,
    /// \brief Answers come later.
    Slow,
    /// \brief A request other than GET takes effect, and the connection is reset without an answer.
    LoseReply,
    /// \brief A request does not take effect and gets no answer; the connection stays open.
    Hang,
    /// \brief A request whose body contains `text` takes the stand-in down.
    CrashOn,
    /// \brief Streams that are open when the fault is set send nothing more; the connections stay open.
    Silent,
};

struct Fault {
    FaultKind kind = FaultKind::Down;
    /// \brief Number of requests that are affected; no bound when empty.
    std::optional<std::uint64_t> count;
    /// \brief How long the fault lasts; for CrashOn, how long each crash lasts.
    std::optional<core::Duration> duration;
    core::Duration delay { 0 };
    /// \brief Factor on the engine's times under Slow.
    double factor = 1;
    std::string text;
    /// \brief Only requests whose path starts with this are affected.
    std::string path;
    [[nodiscard]] bool operator==(const Fault&) const = default;
};

/// \brief Name of a fault in control requests.
[[nodiscard]] std::string name(FaultKind kind);

/// \brief Reads `{"fault":…,"count":…,"ms":…,"delay_ms":…,"factor":…,"text":…,"path":…}`; nothing for "none".
[[nodiscard]] core::Expected<std::optional<Fault>> parseFault(const nlohmann::json& body);

/// \brief What happens to one request.
struct FaultDecision {
    enum class Action : int {
        Serve,
        Hang,
        LoseReply,
        Crash,
    };
    Action action = Action::Serve;
    core::Duration delay { 0 };
    /// \brief For Crash: how long the stand-in stays down.
    core::Duration downTime { 0 };
    [[nodiscard]] bool operator==(const FaultDecision&) const = default;
};

/// \brief The faults of one stand-in. Faults of different kinds hold at the same time.
class FaultPlan {
public:
    /// \brief Adds a fault in place of an earlier one of the same kind and path.
    void set(const Fault& fault, core::TimePoint now);
    void clear() noexcept { this->active.clear(); }
    /// \brief Decides about a request and counts it against the faults that affect it.
    [[nodiscard]] FaultDecision decide(
        const std::string& method, const std::string& path, const std::string& body, core::TimePoint now);
    /// \brief Product of the factors of the Slow faults in force.
    [[nodiscard]] double slowness(core::TimePoint now) const;

private:
    struct Active {
        Fault fault;
        std::optional<core::TimePoint> until;
    };

    void expire(core::TimePoint now);

    std::vector<Active> active;
};

} // namespace lagoontiller::fakes
