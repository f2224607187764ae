#pragma once

#include "core/Error.h"
#include "policy/FairShare.h"
#include "policy/Types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoontiller::policy {

struct CustomerLimits {
    /// \brief Weight in the division of capacity among the customers; above 0.
    double share = 1;
    std::uint32_t maxConcurrentCalls = 100;
};

struct AdmissionOptions {
    /// \brief Calls that the endpoints serve concurrently.
    std::uint32_t slots = 100;
    /// \brief Calls that may wait for a slot.
    std::uint32_t queueCapacity = 400;
    std::uint32_t maxConcurrentPerProgram = 16;
    core::Duration minRetryAfter = std::chrono::milliseconds(100);
    core::Duration maxRetryAfter = std::chrono::seconds(30);
    /// \brief Time for which the first refusal of a program is remembered and counts as its arrival.
    core::Duration refusalRetention = std::chrono::minutes(2);
    std::size_t maxRefusedPrograms = 4'096;
};

struct AdmissionRequest {
    std::string customer;
    std::uint64_t program = 0;
    /// \brief Document priority, 0 to 9.
    int priority = 0;
    bool started = false;
};

struct AdmissionGrant {
    /// \brief Arrival time for the request queue: the first remembered refusal of the program, or else now.
    core::TimePoint arrivedAt {};
    /// \brief Customer whose least urgent waiting request must be evicted (`RequestQueue::evictLeastUrgent`); empty
    /// when there was free capacity or no customer with a waiting call is above its guaranteed capacity.
    std::optional<std::string> evictFrom;
    [[nodiscard]] bool operator==(const AdmissionGrant&) const = default;
};

/// \brief Refusal of a request that has not run, with the delay after which the caller may try again.
struct Refusal {
    core::Error error;
    core::Duration retryAfter {};
};

/// \brief Admission control of one service: decides which calls are accepted and which customers may dispatch a call.
///
/// Each customer is guaranteed a weighted share of the total capacity (slots and queue). A call within that share is
/// always accepted; when the capacity is exhausted, it evicts a waiting call of the customer furthest above its own
/// share. Beyond its share a customer borrows free capacity up to a queue depth that is lower for a lower priority and
/// is the whole queue for started programs, so that under overload new programs of low priority are refused first.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions options = {})
        : options(options)
    {
    }

    void setCustomer(const std::string& customer, CustomerLimits limits);
    void removeCustomer(const std::string& customer);
    /// \brief Sets the number of calls that the healthy endpoints serve concurrently.
    void setSlots(std::uint32_t slots) noexcept { this->options.slots = slots; }

    /// \brief Admits a call, which counts as waiting until `dispatched` or `withdrawn`. Refuses it with `UnknownKey`
    /// (unknown customer), `TooManyRequests` (limit of the customer), `ProgramLimitReached` or `QueueFull`.
    [[nodiscard]] tl::expected<AdmissionGrant, Refusal> admit(const AdmissionRequest& request, core::TimePoint now);
    /// \brief Returns whether a slot is free and the customer runs fewer calls than its weighted max-min share of
    /// slots.
    [[nodiscard]] bool mayDispatch(const std::string& customer) const;
    void dispatched(const std::string& customer);
    /// \brief Records that the attempt of a dispatched call failed and the call waits for a retry.
    void requeued(const std::string& customer);
    /// \brief Records that a waiting call was evicted, cancelled or has expired.
    void withdrawn(const std::string& customer, std::uint64_t program);
    /// \brief Records that a dispatched call ended.
    void ended(const std::string& customer, std::uint64_t program, core::TimePoint now);
    /// \brief Remembers a program whose call was refused or evicted, so that its next call counts as waiting since
    /// `since`.
    void refused(std::uint64_t program, core::TimePoint since);
    /// \brief Forgets refusals older than `refusalRetention`. Call about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] std::uint32_t waiting() const noexcept { return this->totalAdmitted - this->totalRunning; }
    [[nodiscard]] std::uint32_t running() const noexcept { return this->totalRunning; }
    [[nodiscard]] std::uint32_t running(const std::string& customer) const;
    /// \brief Returns the number of calls, running and waiting, that the customer can always have admitted; 0 for an
    /// unknown customer.
    [[nodiscard]] double guaranteedCalls(const std::string& customer) const;

private:
    struct Customer {
        CustomerLimits limits;
        std::uint32_t admitted = 0;
        std::uint32_t running = 0;
    };

    [[nodiscard]] std::uint32_t totalCapacity() const noexcept
    {
        return this->options.slots + this->options.queueCapacity;
    }
    [[nodiscard]] double borrowLimit(const AdmissionRequest& request) const;
    [[nodiscard]] std::optional<std::string> customerFurthestAboveShare(const std::string& except) const;
    [[nodiscard]] core::Duration retryAfter(double excess, core::TimePoint now) const;
    [[nodiscard]] tl::unexpected<Refusal> refuse(const AdmissionRequest& request, core::ResultCode code,
        const std::string& message, double excess, core::TimePoint now);
    [[nodiscard]] AdmissionGrant accept(const AdmissionRequest& request, Customer& customer, core::TimePoint now);
    void releaseAdmitted(const std::string& customer, std::uint64_t program);

    AdmissionOptions options;
    std::map<std::string, Customer> customers;
    std::unordered_map<std::uint64_t, std::uint32_t> admittedByProgram;
    std::unordered_map<std::uint64_t, core::TimePoint> refusedSince;
    double totalShare = 0;
    std::uint32_t totalAdmitted = 0;
    std::uint32_t totalRunning = 0;
    /// \brief Number of ended calls, decaying exponentially with the time constant of the completion rate.
    double recentCompletions = 0;
    core::TimePoint recentCompletionsAt {};
};

} // namespace lagoontiller::policy
