#include "operators/SessionStore.h"

#include "core/Encoding.h"

#include <algorithm>
#include <sodium.h>

namespace lagoontiller::operators {

namespace {

constexpr std::size_t tokenBytes = 32;

} // namespace

bool SessionStore::mayAttemptSignIn(const std::string& address, core::TimePoint now)
{
    while (!this->failures.empty() && now - this->failures.front().failedAt >= this->limits.failureWindow)
        this->failures.pop_front();
    if (this->failures.size() >= this->limits.maxFailures)
        return false;
    const auto addressFailures = std::count_if(this->failures.begin(), this->failures.end(),
        [&address](const Failure& failure) { return failure.address == address; });
    return static_cast<std::size_t>(addressFailures) < this->limits.maxFailuresPerAddress;
}

void SessionStore::recordFailure(const std::string& address, core::TimePoint now)
{
    this->failures.push_back({ address, now });
}

Session SessionStore::open(const std::string& author, core::TimePoint now)
{
    std::erase_if(this->sessions, [this, now](const auto& entry) { return this->isExpired(entry.second, now); });
    if (this->sessions.size() >= this->limits.maxSessions) {
        this->sessions.erase(std::min_element(this->sessions.begin(), this->sessions.end(),
            [](const auto& left, const auto& right) { return left.second.lastUsedAt < right.second.lastUsedAt; }));
    }
    Session session { core::randomHex(tokenBytes), core::randomHex(tokenBytes), author, now, now };
    this->sessions.emplace(session.id, session);
    return session;
}

std::optional<Session> SessionStore::findAndRefresh(const std::string& id, core::TimePoint now)
{
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end())
        return std::nullopt;
    if (this->isExpired(found->second, now)) {
        this->sessions.erase(found);
        return std::nullopt;
    }
    found->second.lastUsedAt = now;
    return found->second;
}

bool SessionStore::isExpired(const Session& session, core::TimePoint now) const noexcept
{
    return now - session.lastUsedAt >= this->limits.idleTimeout || now - session.openedAt >= this->limits.maxLifetime;
}

bool constantTimeEquals(std::string_view expected, std::string_view actual) noexcept
{
    return !expected.empty() && expected.size() == actual.size()
        && sodium_memcmp(expected.data(), actual.data(), expected.size()) == 0;
}

} // namespace lagoontiller::operators
