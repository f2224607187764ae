#include "policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

/// \brief Time constant of the rate of ended calls.
constexpr double endRateMicroseconds = 5e6;

double decayed(double count, core::TimePoint since, core::TimePoint now)
{
    return count * std::exp(-microseconds(now - since) / endRateMicroseconds);
}

} // namespace

void Admission::setCustomer(const std::string& customer, CustomerLimits limits)
{
    Customer& entry = this->customers.try_emplace(customer, Customer { { 0, 0 }, 0, 0 }).first->second;
    this->totalShare += limits.share - entry.limits.share;
    entry.limits = limits;
}

void Admission::removeCustomer(const std::string& customer)
{
    const auto entry = this->customers.find(customer);
    if (entry == this->customers.end()) {
        return;
    }
    this->totalShare -= entry->second.limits.share;
    entry->second.limits = { 0, 0 };
    if (entry->second.held == 0) {
        this->customers.erase(entry);
    }
}

tl::expected<Admitted, Refusal> Admission::admit(const AdmissionRequest& request, core::TimePoint now)
{
    const auto entry = this->customers.find(request.customer);
    if (entry == this->customers.end()) {
        return this->refuse(request, core::ResultCode::UnknownKey, "unknown customer", 0, now);
    }
    Customer& customer = entry->second;
    if (customer.held >= customer.limits.maximumConcurrent) {
        return this->refuse(request, core::ResultCode::TooManyRequests,
            "the customer's " + std::to_string(customer.limits.maximumConcurrent) + " concurrent calls are in use", 1,
            now);
    }
    const auto program = this->heldByProgram.find(request.program);
    if (program != this->heldByProgram.end() && program->second >= this->options.maximumPerProgram) {
        return this->refuse(request, core::ResultCode::ProgramLimitReached,
            "the program's " + std::to_string(this->options.maximumPerProgram) + " concurrent calls are in use", 1,
            now);
    }
    if (customer.held + 1 <= this->guaranteed(request.customer)) {
        const bool full = this->totalHeld >= this->places();
        Admitted admitted = this->accept(request, customer, now);
        admitted.displaced = full ? this->furthestAbovePart(request.customer) : std::nullopt;
        return admitted;
    }
    const double limit = this->borrowLimit(request);
    if (this->totalHeld + 1 <= limit) {
        return this->accept(request, customer, now);
    }
    return this->refuse(request, core::ResultCode::QueueFull,
        "the customer's share is in use and the service has no free place for this priority",
        this->totalHeld + 1 - limit, now);
}

bool Admission::mayDispatch(const std::string& customer) const
{
    if (this->totalRunning >= this->options.slots) {
        return false;
    }
    std::vector<Demand> demands;
    std::size_t own = 0;
    const Customer* found = nullptr;
    for (const auto& [name, each] : this->customers) {
        if (each.held == 0) {
            continue;
        }
        if (name == customer) {
            own = demands.size();
            found = &each;
        }
        demands.push_back({ static_cast<double>(each.held), each.limits.share });
    }
    if (found == nullptr) {
        return false;
    }
    // Rounding up keeps a slot from idling; the total above bounds the sum.
    return found->running < std::ceil(weightedMaxMin(this->options.slots, demands)[own]);
}

void Admission::dispatched(const std::string& customer)
{
    this->customers[customer].running += 1;
    this->totalRunning += 1;
}

void Admission::requeued(const std::string& customer)
{
    this->customers[customer].running -= 1;
    this->totalRunning -= 1;
}

void Admission::withdrawn(const std::string& customer, std::uint64_t program)
{
    this->releaseHeld(customer, program);
}

void Admission::ended(const std::string& customer, std::uint64_t program, core::TimePoint now)
{
    this->recentEnds = decayed(this->recentEnds, this->recentEndsAt, now) + 1;
    this->recentEndsAt = now;
    this->customers[customer].running -= 1;
    this->totalRunning -= 1;
    this->releaseHeld(customer, program);
}

void Admission::refused(std::uint64_t program, core::TimePoint since)
{
    if (this->refusedSince.size() < this->options.maximumRefused) {
        this->refusedSince.try_emplace(program, since);
    }
}

void Admission::tick(core::TimePoint now)
{
    std::erase_if(
        this->refusedSince, [this, now](const auto& each) { return now - each.second > this->options.refusalMemory; });
}

std::uint32_t Admission::running(const std::string& customer) const
{
    const auto entry = this->customers.find(customer);
    return entry == this->customers.end() ? 0 : entry->second.running;
}

double Admission::guaranteed(const std::string& customer) const
{
    const auto entry = this->customers.find(customer);
    if (entry == this->customers.end() || this->totalShare <= 0) {
        return 0;
    }
    // Every customer can hold one call, however many customers divide the places.
    return std::max(1.0, std::floor(this->places() * entry->second.limits.share / this->totalShare));
}

double Admission::borrowLimit(const AdmissionRequest& request) const
{
    constexpr double lowestPart = 0.4;
    constexpr double partPerPriority = 0.05;
    const double part = request.started ? 1 : lowestPart + partPerPriority * request.priority;
    return this->options.slots + this->options.queue * part;
}

std::optional<std::string> Admission::furthestAbovePart(const std::string& except) const
{
    std::optional<std::string> furthest;
    double largest = 1;
    for (const auto& [name, each] : this->customers) {
        const double ratio = each.held / std::max(1.0, this->guaranteed(name));
        if (name != except && each.held > each.running && ratio > largest) {
            largest = ratio;
            furthest = name;
        }
    }
    return furthest;
}

core::Duration Admission::retryAfter(double excess, core::TimePoint now) const
{
    const double perSecond = decayed(this->recentEnds, this->recentEndsAt, now) / (endRateMicroseconds / 1e6);
    const auto longest = microseconds(this->options.longestRetry);
    const double expected = perSecond <= 0 ? longest : std::min(longest, excess / perSecond * 1e6);
    return std::max(this->options.shortestRetry, core::Duration(static_cast<std::int64_t>(expected)));
}

tl::unexpected<Refusal> Admission::refuse(const AdmissionRequest& request, core::ResultCode code,
    const std::string& message, double excess, core::TimePoint now)
{
    if (code != core::ResultCode::UnknownKey) {
        this->refused(request.program, now);
    }
    return tl::unexpected<Refusal>(Refusal { core::Error(code, message), this->retryAfter(excess, now) });
}

Admitted Admission::accept(const AdmissionRequest& request, Customer& customer, core::TimePoint now)
{
    customer.held += 1;
    this->totalHeld += 1;
    this->heldByProgram[request.program] += 1;
    Admitted admitted { now, std::nullopt };
    const auto refusal = this->refusedSince.find(request.program);
    if (refusal != this->refusedSince.end()) {
        admitted.arrived = refusal->second;
        this->refusedSince.erase(refusal);
    }
    return admitted;
}

void Admission::releaseHeld(const std::string& customer, std::uint64_t program)
{
    const auto entry = this->customers.find(customer);
    entry->second.held -= 1;
    this->totalHeld -= 1;
    if (entry->second.held == 0 && entry->second.limits.maximumConcurrent == 0) {
        this->customers.erase(entry);
    }
    const auto held = this->heldByProgram.find(program);
    if (--held->second == 0) {
        this->heldByProgram.erase(held);
    }
}

} // namespace lagoontiller::policy
