#pragma once

#include "core/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::operators {

struct SessionLimits {
    /// \brief A session ends after this time without a request.
    core::Duration idle = std::chrono::minutes(30);
    /// \brief A session ends after this time in any case.
    core::Duration longest = std::chrono::hours(12);
    std::size_t maximumSessions = 200;
    /// \brief Failed sign-ins within the window after which further tries are refused unread.
    std::size_t failuresPerAddress = 5;
    std::size_t failuresInAll = 50;
    core::Duration failureWindow = std::chrono::minutes(10);
};

struct Session {
    std::string id;
    /// \brief Every form of the session carries this token.
    std::string csrfToken;
    /// \brief Name that the operator gave; author of accepted versions.
    std::string author;
    core::TimePoint opened {};
    core::TimePoint lastUsed {};
};

/// \brief Signed-in operators and the count of failed sign-ins. Kept in memory: a restart ends all sessions.
class Sessions {
public:
    explicit Sessions(SessionLimits limits = {})
        : limits(limits)
    {
    }

    /// \brief Whether another sign-in from this address may be checked now.
    [[nodiscard]] bool mayTry(const std::string& address, core::TimePoint now);
    void recordFailure(const std::string& address, core::TimePoint now);
    /// \brief Opens a session with random id and token. The one unused for longest gives way when there are too many.
    Session open(const std::string& author, core::TimePoint now);
    /// \brief The session, or nothing when it is unknown or over its limits. Counts as use.
    [[nodiscard]] std::optional<Session> use(const std::string& id, core::TimePoint now);
    void close(const std::string& id) { this->sessions.erase(id); }

private:
    struct Failure {
        std::string address;
        core::TimePoint at {};
    };

    [[nodiscard]] bool isOver(const Session& session, core::TimePoint now) const noexcept;

    SessionLimits limits;
    std::map<std::string, Session> sessions;
    /// \brief Failed tries within the window, oldest first; bounded by `failuresInAll`.
    std::deque<Failure> failures;
};

/// \brief Compares in constant time. An empty expected token matches nothing.
[[nodiscard]] bool sameToken(std::string_view expected, std::string_view given) noexcept;

} // namespace lagoontiller::operators
