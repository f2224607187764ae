#include "policy/AdmissionController.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

/// \brief Time constant of the exponentially decaying rate of ended calls.
constexpr double completionRateDecayMicroseconds = 5e6;

double decayed(double count, core::TimePoint since, core::TimePoint now)
{
    return count * std::exp(-microseconds(now - since) / completionRateDecayMicroseconds);
}

} // namespace

void AdmissionController::setCustomer(const std::string& customer, CustomerLimits limits)
{
    Customer& entry = this->customers.try_emplace(customer, Customer { { 0, 0 }, 0, 0 }).first->second;
    this->totalShare += limits.share - entry.limits.share;
    entry.limits = limits;
}

void AdmissionController::removeCustomer(const std::string& customer)
{
    const auto entry = this->customers.find(customer);
    if (entry == this->customers.end()) {
        return;
    }
    this->totalShare -= entry->second.limits.share;
    entry->second.limits = { 0, 0 };
    if (entry->second.admitted == 0) {
        this->customers.erase(entry);
    }
}

tl::expected<AdmissionGrant, Refusal> AdmissionController::admit(const AdmissionRequest& request, core::TimePoint now)
{
    const auto entry = this->customers.find(request.customer);
    if (entry == this->customers.end()) {
        return this->refuse(request, core::ResultCode::UnknownKey, "unknown customer", 0, now);
    }
    Customer& customer = entry->second;
    if (customer.admitted >= customer.limits.maxConcurrentCalls) {
        return this->refuse(request, core::ResultCode::TooManyRequests,
            "customer has reached its limit of " + std::to_string(customer.limits.maxConcurrentCalls)
                + " concurrent calls",
            1, now);
    }
    const auto program = this->admittedByProgram.find(request.program);
    if (program != this->admittedByProgram.end() && program->second >= this->options.maxConcurrentPerProgram) {
        return this->refuse(request, core::ResultCode::ProgramLimitReached,
            "program has reached its limit of " + std::to_string(this->options.maxConcurrentPerProgram)
                + " concurrent calls",
            1, now);
    }
    if (customer.admitted + 1 <= this->guaranteedCalls(request.customer)) {
        const bool full = this->totalAdmitted >= this->totalCapacity();
        AdmissionGrant admitted = this->accept(request, customer, now);
        admitted.evictFrom = full ? this->customerFurthestAboveShare(request.customer) : std::nullopt;
        return admitted;
    }
    const double limit = this->borrowLimit(request);
    if (this->totalAdmitted + 1 <= limit) {
        return this->accept(request, customer, now);
    }
    return this->refuse(request, core::ResultCode::QueueFull,
        "customer has used its guaranteed capacity and the service queue is full for this priority",
        this->totalAdmitted + 1 - limit, now);
}

bool AdmissionController::mayDispatch(const std::string& customer) const
{
    if (this->totalRunning >= this->options.slots) {
        return false;
    }
    std::vector<Demand> demands;
    std::size_t own = 0;
    const Customer* found = nullptr;
    for (const auto& [name, each] : this->customers) {
        if (each.admitted == 0) {
            continue;
        }
        if (name == customer) {
            own = demands.size();
            found = &each;
        }
        demands.push_back({ static_cast<double>(each.admitted), each.limits.share });
    }
    if (found == nullptr) {
        return false;
    }
    // Rounding up prevents idle slots; the check of `totalRunning` above limits the sum over all customers.
    return found->running < std::ceil(weightedMaxMin(this->options.slots, demands)[own]);
}

void AdmissionController::dispatched(const std::string& customer)
{
    this->customers[customer].running += 1;
    this->totalRunning += 1;
}

void AdmissionController::requeued(const std::string& customer)
{
    this->customers[customer].running -= 1;
    this->totalRunning -= 1;
}

void AdmissionController::withdrawn(const std::string& customer, std::uint64_t program)
{
    this->releaseAdmitted(customer, program);
}

void AdmissionController::ended(const std::string& customer, std::uint64_t program, core::TimePoint now)
{
    this->recentCompletions = decayed(this->recentCompletions, this->recentCompletionsAt, now) + 1;
    this->recentCompletionsAt = now;
    this->customers[customer].running -= 1;
    this->totalRunning -= 1;
    this->releaseAdmitted(customer, program);
}

void AdmissionController::refused(std::uint64_t program, core::TimePoint since)
{
    if (this->refusedSince.size() < this->options.maxRefusedPrograms) {
        this->refusedSince.try_emplace(program, since);
    }
}

void AdmissionController::tick(core::TimePoint now)
{
    std::erase_if(this->refusedSince,
        [this, now](const auto& each) { return now - each.second > this->options.refusalRetention; });
}

std::uint32_t AdmissionController::running(const std::string& customer) const
{
    const auto entry = this->customers.find(customer);
    return entry == this->customers.end() ? 0 : entry->second.running;
}

double AdmissionController::guaranteedCalls(const std::string& customer) const
{
    const auto entry = this->customers.find(customer);
    if (entry == this->customers.end() || this->totalShare <= 0) {
        return 0;
    }
    // At least one call, however many customers share the capacity.
    return std::max(1.0, std::floor(this->totalCapacity() * entry->second.limits.share / this->totalShare));
}

double AdmissionController::borrowLimit(const AdmissionRequest& request) const
{
    constexpr double minQueueRatio = 0.4;
    constexpr double queueRatioPerPriority = 0.05;
    const double queueRatio = request.started ? 1 : minQueueRatio + queueRatioPerPriority * request.priority;
    return this->options.slots + this->options.queueCapacity * queueRatio;
}

std::optional<std::string> AdmissionController::customerFurthestAboveShare(const std::string& except) const
{
    std::optional<std::string> furthest;
    double largest = 1;
    for (const auto& [name, each] : this->customers) {
        const double ratio = each.admitted / std::max(1.0, this->guaranteedCalls(name));
        if (name != except && each.admitted > each.running && ratio > largest) {
            largest = ratio;
            furthest = name;
        }
    }
    return furthest;
}

core::Duration AdmissionController::retryAfter(double excess, core::TimePoint now) const
{
    const double perSecond
        = decayed(this->recentCompletions, this->recentCompletionsAt, now) / (completionRateDecayMicroseconds / 1e6);
    const auto longest = microseconds(this->options.maxRetryAfter);
    const double expected = perSecond <= 0 ? longest : std::min(longest, excess / perSecond * 1e6);
    return std::max(this->options.minRetryAfter, core::Duration(static_cast<std::int64_t>(expected)));
}

tl::unexpected<Refusal> AdmissionController::refuse(const AdmissionRequest& request, core::ResultCode code,
    const std::string& message, double excess, core::TimePoint now)
{
    if (code != core::ResultCode::UnknownKey) {
        this->refused(request.program, now);
    }
    return tl::unexpected<Refusal>(Refusal { core::Error(code, message), this->retryAfter(excess, now) });
}

AdmissionGrant AdmissionController::accept(const AdmissionRequest& request, Customer& customer, core::TimePoint now)
{
    customer.admitted += 1;
    this->totalAdmitted += 1;
    this->admittedByProgram[request.program] += 1;
    AdmissionGrant admitted { now, std::nullopt };
    const auto refusal = this->refusedSince.find(request.program);
    if (refusal != this->refusedSince.end()) {
        admitted.arrivedAt = refusal->second;
        this->refusedSince.erase(refusal);
    }
    return admitted;
}

void AdmissionController::releaseAdmitted(const std::string& customer, std::uint64_t program)
{
    const auto entry = this->customers.find(customer);
    entry->second.admitted -= 1;
    this->totalAdmitted -= 1;
    if (entry->second.admitted == 0 && entry->second.limits.maxConcurrentCalls == 0) {
        this->customers.erase(entry);
    }
    const auto ofProgram = this->admittedByProgram.find(program);
    if (--ofProgram->second == 0) {
        this->admittedByProgram.erase(ofProgram);
    }
}

} // namespace lagoontiller::policy
