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
    core::Duration idleTimeout = std::chrono::minutes(30);
    /// \brief A session ends after this time in any case.
    core::Duration maxLifetime = std::chrono::hours(12);
    std::size_t maxSessions = 200;
    /// \brief Failed sign-ins within the window after which further tries are refused unread.
    std::size_t maxFailuresPerAddress = 5;
    std::size_t maxFailures = 50;
    core::Duration failureWindow = std::chrono::minutes(10);
};

struct Session {
    std::string id;
    /// \brief Every form of the session carries this token.
    std::string csrfToken;
    /// \brief Name that the operator gave; author of accepted versions.
    std::string author;
    core::TimePoint openedAt {};
    core::TimePoint lastUsedAt {};
};

/// \brief Signed-in operators and the count of failed sign-ins. Kept in memory: a restart ends all sessions.
class SessionStore {
public:
    explicit SessionStore(SessionLimits limits = {})
        : limits(limits)
    {
    }

    /// \brief Whether another sign-in from this address may be checked now.
    [[nodiscard]] bool mayAttemptSignIn(const std::string& address, core::TimePoint now);
    void recordFailure(const std::string& address, core::TimePoint now);
    /// \brief Opens a session with random id and token. The one unused for longest gives way when there are too many.
    Session open(const std::string& author, core::TimePoint now);
    /// \brief The session, or nothing when it is unknown or over its limits. Counts as use.
    [[nodiscard]] std::optional<Session> findAndRefresh(const std::string& id, core::TimePoint now);
    void close(const std::string& id) { this->sessions.erase(id); }

private:
    struct Failure {
        std::string address;
        core::TimePoint failedAt {};
    };

    [[nodiscard]] bool isExpired(const Session& session, core::TimePoint now) const noexcept;

    SessionLimits limits;
    std::map<std::string, Session> sessions;
    /// \brief Failed tries within the window, oldest first; bounded by `maxFailures`.
    std::deque<Failure> failures;
};

/// \brief Compares in constant time. An empty expected token matches nothing.
[[nodiscard]] bool constantTimeEquals(std::string_view expected, std::string_view actual) noexcept;

} // namespace lagoontiller::operators
