#include "gateway/ConfigurationProof.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time by which the proof lapses early; covers the resolution of the clocks and the time between the check and
/// the send.
constexpr core::Duration safetyMargin = std::chrono::milliseconds(50);
/// \brief Time for the way to the store and back in the calculation of the poll wait.
constexpr core::Duration pollRoundTrip = std::chrono::milliseconds(100);
constexpr core::Duration minPollWait = std::chrono::milliseconds(200);

} // namespace

void ConfigurationProof::confirm(core::BootTimePoint sentAt)
{
    this->confirmedAt = std::max(sentAt, this->confirmedAt.value_or(sentAt));
}

bool ConfigurationProof::isProven(core::BootTimePoint now) const
{
    if (!this->maxAge)
        return true;
    return this->confirmedAt && now < *this->confirmedAt + *this->maxAge - safetyMargin;
}

bool ConfigurationProof::isOverdue(core::BootTimePoint now) const
{
    const auto wait = this->pollWait();
    return wait && (!this->confirmedAt || now > *this->confirmedAt + *wait * 2 + pollRoundTrip * 2);
}

std::optional<core::Duration> ConfigurationProof::pollWait() const
{
    // The proof of a poll is as old as the poll until the answer to the next one arrives: up to two waits.
    if (!this->maxAge)
        return std::nullopt;
    return std::max(*this->maxAge / 5 - pollRoundTrip, minPollWait);
}

} // namespace lagoontiller::gateway
