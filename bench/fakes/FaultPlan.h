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
    /// \brief Responses are delayed.
    Slow,
    /// \brief A request other than GET is executed, then the connection is reset without a response.
    LoseReply,
    /// \brief A request is neither executed nor answered; the connection stays open.
    Hang,
    /// \brief A request whose body contains `text` crashes the stand-in.
    CrashOn,
    /// \brief Streams that are open when the fault is set stop sending; their connections stay open.
    Silent,
};

struct Fault {
    FaultKind kind = FaultKind::Down;
    /// \brief Number of affected requests; unlimited if empty.
    std::optional<std::uint64_t> count;
    /// \brief How long the fault lasts; for CrashOn, how long each crash lasts.
    std::optional<core::Duration> duration;
    core::Duration delay { 0 };
    /// \brief For Slow: factor on the prefill and decode times of the engine.
    double factor = 1;
    std::string text;
    /// \brief Path prefix of the affected requests.
    std::string path;
    [[nodiscard]] bool operator==(const Fault&) const = default;
};

/// \brief Name of a fault in control requests.
[[nodiscard]] std::string name(FaultKind kind);

/// \brief Parses `{"fault":…,"count":…,"ms":…,"delay_ms":…,"factor":…,"text":…,"path":…}`; empty for "none".
[[nodiscard]] core::Expected<std::optional<Fault>> parseFault(const nlohmann::json& body);

/// \brief How the stand-in handles a request.
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

/// \brief Active faults of a stand-in. Faults of different kinds or paths may be active together.
class FaultPlan {
public:
    /// \brief Adds a fault; replaces an earlier one of the same kind and path.
    void set(const Fault& fault, core::TimePoint now);
    void clear() noexcept { this->active.clear(); }
    /// \brief Decides how to handle a request and decrements the counts of the faults that affect it.
    [[nodiscard]] FaultDecision decide(
        const std::string& method, const std::string& path, const std::string& body, core::TimePoint now);
    /// \brief Product of the factors of the active Slow faults.
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
