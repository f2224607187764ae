#include "gateway/NewProgramLimiter.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Weight of one attempt in the moving average.
constexpr double attemptWeight = 0.07;
constexpr double congestedLevel = 0.5;
/// \brief Factor of the admitted share above `congestedLevel`, and the interval in which it applies once: attempts show
/// the effect of a change only after some time.
constexpr double decreaseFactor = 0.4;
constexpr core::Duration decreaseInterval = std::chrono::milliseconds(200);
/// \brief Relative increase of the admitted share per second below `congestedLevel`, and where few attempts are
/// congested.
constexpr double increasePerSecond = 0.2;
constexpr double calmLevel = 0.1;
constexpr double calmIncreasePerSecond = 1.0;
/// \brief New programs that are admitted in any case show when the congestion ends.
constexpr double minShare = 0.03;
/// \brief Time in which the average decays to zero without attempts.
constexpr double decaySeconds = 3;

} // namespace

void NewProgramLimiter::advance(core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - this->advancedAt).count();
    this->advancedAt = now;
    this->congestion *= std::max(0.0, 1 - seconds / decaySeconds);
    if (this->congestion > congestedLevel)
        return;
    const auto increase = this->congestion < calmLevel ? calmIncreasePerSecond : increasePerSecond;
    this->admittedShare = std::min(1.0, this->admittedShare * (1 + increase * seconds));
}

void NewProgramLimiter::record(bool congested, core::TimePoint now)
{
    this->advance(now);
    this->congestion += attemptWeight * ((congested ? 1.0 : 0.0) - this->congestion);
    if (this->congestion <= congestedLevel || now - this->decreasedAt < decreaseInterval)
        return;
    this->decreasedAt = now;
    this->admittedShare = std::max(minShare, this->admittedShare * decreaseFactor);
}

double NewProgramLimiter::share(core::TimePoint now)
{
    this->advance(now);
    return this->admittedShare;
}

bool NewProgramLimiter::admits(double draw, core::TimePoint now)
{
    return draw < this->share(now);
}

} // namespace lagoontiller::gateway
