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
    /// \brief Weight of the customer's share; above 0.
    double share = 1;
    std::uint32_t maxConcurrentCalls = 100;
};

struct AdmissionOptions {
    /// \brief Calls that the endpoints serve at once.
    std::uint32_t slots = 100;
    /// \brief Calls that may wait.
    std::uint32_t queueCapacity = 400;
    std::uint32_t maxConcurrentPerProgram = 16;
    core::Duration minRetryAfter = std::chrono::milliseconds(100);
    core::Duration maxRetryAfter = std::chrono::seconds(30);
    /// \brief Time for which a refused program keeps its place.
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
    /// \brief Arrival time for the request queue: the first refusal of the program, if one is remembered.
    core::TimePoint arrivedAt {};
    /// \brief Customer whose least urgent waiting request gives up its place (`RequestQueue::displace`).
    std::optional<std::string> evictFrom;
    [[nodiscard]] bool operator==(const AdmissionGrant&) const = default;
};

/// \brief A refusal; the request was not run.
struct Refusal {
    core::Error error;
    core::Duration retryAfter {};
};

/// \brief Decides which calls of one service are accepted and which customer's call is dispatched next.
///
/// Each customer is guaranteed its weighted part of slots and queue; a call within it is always accepted, if need be in
/// the place of a waiting call of the customer furthest above its own part. Beyond its part a customer borrows free
/// places, and the queue depth up to which it may do so falls with the priority and is full for started programs, so
/// that overload refuses new programs of low priority first.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions options = {})
        : options(options)
    {
    }

    void setCustomer(const std::string& customer, CustomerLimits limits);
    void removeCustomer(const std::string& customer);
    /// \brief Follows the number of healthy endpoints.
    void setSlots(std::uint32_t slots) noexcept { this->options.slots = slots; }

    /// \brief On success the call counts as waiting until `dispatched` or `withdrawn`. Refusal codes: `UnknownKey`,
    /// `TooManyRequests` (customer), `ProgramLimitReached`, `QueueFull`.
    [[nodiscard]] tl::expected<AdmissionGrant, Refusal> admit(const AdmissionRequest& request, core::TimePoint now);
    /// \brief Whether a slot is free within the customer's weighted max-min part of the slots.
    [[nodiscard]] bool mayDispatch(const std::string& customer) const;
    void dispatched(const std::string& customer);
    /// \brief The attempt of a dispatched call failed and the call waits for a retry.
    void requeued(const std::string& customer);
    /// \brief A waiting call was displaced, cancelled or expired.
    void withdrawn(const std::string& customer, std::uint64_t program);
    /// \brief A dispatched call ended.
    void ended(const std::string& customer, std::uint64_t program, core::TimePoint now);
    /// \brief Remembers a program whose waiting call was refused after admission (displaced).
    void refused(std::uint64_t program, core::TimePoint since);
    /// \brief Drops remembered refusals that are too old; due about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] std::uint32_t waiting() const noexcept { return this->totalAdmitted - this->totalRunning; }
    [[nodiscard]] std::uint32_t running() const noexcept { return this->totalRunning; }
    [[nodiscard]] std::uint32_t running(const std::string& customer) const;
    /// \brief Places of slots and queue that the customer can always use.
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
    /// \brief Ended calls, decaying exponentially.
    double recentCompletions = 0;
    core::TimePoint recentCompletionsAt {};
};

} // namespace lagoontiller::policy
