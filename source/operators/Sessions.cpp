#include "operators/Sessions.h"

#include "core/Encoding.h"

#include <algorithm>
#include <sodium.h>

namespace lagoontiller::operators {

namespace {

constexpr std::size_t tokenBytes = 32;

} // namespace

bool Sessions::mayTry(const std::string& address, core::TimePoint now)
{
    while (!this->failures.empty() && now - this->failures.front().at >= this->limits.failureWindow)
        this->failures.pop_front();
    if (this->failures.size() >= this->limits.failuresInAll)
        return false;
    const auto own = std::count_if(this->failures.begin(), this->failures.end(),
        [&address](const Failure& failure) { return failure.address == address; });
    return static_cast<std::size_t>(own) < this->limits.failuresPerAddress;
}

void Sessions::recordFailure(const std::string& address, core::TimePoint now)
{
    this->failures.push_back({ address, now });
}

Session Sessions::open(const std::string& author, core::TimePoint now)
{
    std::erase_if(this->sessions, [this, now](const auto& entry) { return this->isOver(entry.second, now); });
    if (this->sessions.size() >= this->limits.maximumSessions) {
        this->sessions.erase(std::min_element(this->sessions.begin(), this->sessions.end(),
            [](const auto& left, const auto& right) { return left.second.lastUsed < right.second.lastUsed; }));
    }
    Session session { core::randomHex(tokenBytes), core::randomHex(tokenBytes), author, now, now };
    this->sessions.emplace(session.id, session);
    return session;
}

std::optional<Session> Sessions::use(const std::string& id, core::TimePoint now)
{
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end())
        return std::nullopt;
    if (this->isOver(found->second, now)) {
        this->sessions.erase(found);
        return std::nullopt;
    }
    found->second.lastUsed = now;
    return found->second;
}

bool Sessions::isOver(const Session& session, core::TimePoint now) const noexcept
{
    return now - session.lastUsed >= this->limits.idle || now - session.opened >= this->limits.longest;
}

bool sameToken(std::string_view expected, std::string_view given) noexcept
{
    return !expected.empty() && expected.size() == given.size()
        && sodium_memcmp(expected.data(), given.data(), expected.size()) == 0;
}

} // namespace lagoontiller::operators
