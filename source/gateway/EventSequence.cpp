#include "gateway/EventSequence.h"

#include <algorithm>

namespace lagoontiller::gateway {

void EventNumbering::observe(bool consecutive) noexcept
{
    this->balance = std::clamp(this->balance + (consecutive ? 1 : -1), -maxBalance, maxBalance);
}

std::string_view toString(EventOrder order) noexcept
{
    switch (order) {
    case EventOrder::InOrder:
        return "in_order";
    case EventOrder::Missing:
        return "missing";
    case EventOrder::Repeated:
        return "repeated";
    case EventOrder::Unnumbered:
        return "unnumbered";
    }
    return "unknown";
}

void EventSequence::beginRun() noexcept
{
    this->awaitsNext = this->lastNumber.has_value();
}

EventOrder EventSequence::accept(const StreamEvent& event, const EventNumbering& service) noexcept
{
    if (event.id)
        return this->acceptNumber(*event.id, service);
    if (!event.hasData)
        return EventOrder::InOrder;
    if (this->awaitsNext)
        return EventOrder::Unnumbered;
    this->hasUnnumberedData = true;
    return EventOrder::InOrder;
}

EventOrder EventSequence::acceptNumber(std::uint64_t number, const EventNumbering& service) noexcept
{
    if (!this->lastNumber) {
        const bool atStart = number <= 1;
        if (!atStart && service.isConsecutive())
            return EventOrder::Missing;
        this->beganAtStart = atStart;
    } else {
        if (number <= *this->lastNumber)
            return EventOrder::Repeated;
        const bool next = number - *this->lastNumber == 1;
        const bool countsByOne = this->beganAtStart && this->consecutiveSteps == true;
        const bool consecutive = countsByOne
            || (!service.isSparse()
                && (this->consecutiveSteps.value_or(this->beganAtStart) || service.isConsecutive()));
        const bool sparse = !countsByOne && (service.isSparse() || this->consecutiveSteps == false);
        if (!next && (consecutive || (this->awaitsNext && !sparse)))
            return EventOrder::Missing;
        if (!this->consecutiveSteps)
            this->consecutiveSteps = next;
        else if (!next)
            this->consecutiveSteps = false;
    }
    this->lastNumber = number;
    this->awaitsNext = false;
    return EventOrder::InOrder;
}

} // namespace lagoontiller::gateway
