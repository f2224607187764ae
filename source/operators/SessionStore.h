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
    /// \brief A session ends this long after the sign-in, even when it is in use.
    core::Duration maxLifetime = std::chrono::hours(12);
    /// \brief When reached, a new sign-in ends the least recently used session.
    std::size_t maxSessions = 200;
    /// \brief Failed sign-ins of one address within the window after which its attempts are refused without a key
    /// check.
    std::size_t maxFailuresPerAddress = 5;
    /// \brief The same for the failed sign-ins of all addresses together.
    std::size_t maxFailures = 50;
    core::Duration failureWindow = std::chrono::minutes(10);
};

struct Session {
    std::string id;
    /// \brief Token that every form of the session must include.
    std::string csrfToken;
    /// \brief Name that the operator entered at sign-in, recorded as the author of accepted versions.
    std::string author;
    core::TimePoint openedAt {};
    core::TimePoint lastUsedAt {};
};

/// \brief Sessions of signed-in operators, and recent failed sign-ins. Kept in memory only: a restart ends all
/// sessions.
class SessionStore {
public:
    explicit SessionStore(SessionLimits limits = {})
        : limits(limits)
    {
    }

    /// \brief Whether the limits on failed sign-ins allow another attempt from this address.
    [[nodiscard]] bool mayAttemptSignIn(const std::string& address, core::TimePoint now);
    void recordFailure(const std::string& address, core::TimePoint now);
    /// \brief Opens a session with a random ID and CSRF token. Ends expired sessions, and the least recently used one
    /// when the limit is reached.
    Session open(const std::string& author, core::TimePoint now);
    /// \brief Returns the session and restarts its idle timeout; nullopt when the ID is unknown or the session has
    /// expired.
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
    /// \brief Failed sign-ins within the window, oldest first. At most `maxFailures`, because no attempt is checked
    /// after that.
    std::deque<Failure> failures;
};

/// \brief Compares two tokens in time that does not depend on where they differ. An empty expected token matches
/// nothing.
[[nodiscard]] bool constantTimeEquals(std::string_view expected, std::string_view actual) noexcept;

} // namespace lagoontiller::operators
