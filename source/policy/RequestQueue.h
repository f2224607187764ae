#pragma once

#include "core/Error.h"
#include "policy/Types.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

/// \brief What a waiting parent passes to its sub-agents.
struct Urgency {
    /// \brief Document priority, 0 to 9; 9 is served first.
    int priority = 0;
    core::TimePoint deadline = core::TimePoint::max();
    [[nodiscard]] bool operator==(const Urgency&) const = default;
};

/// \brief The more urgent of both in each part.
[[nodiscard]] Urgency inheritedUrgency(const Urgency& own, const Urgency& parent) noexcept;

struct QueuedRequest {
    CallId id = 0;
    std::uint64_t program = 0;
    std::string customer;
    Urgency urgency;
    /// \brief Arrival, or the first refusal of the program where `Admission` credits the wait.
    core::TimePoint arrivedAt {};
    /// \brief Service that the program has received, in tokens.
    std::uint64_t servedTokens = 0;
    /// \brief Whether an earlier turn of the program was served.
    bool started = false;
};

/// \brief Position of a request in the order; a strict weak order that does not change with time.
///
/// Ageing: waiting one `agePeriod` is worth one priority level. `level` is therefore the number of the period in which
/// the request arrived minus its priority, and a request that waits is overtaken only by requests that arrive within
/// (priority difference + 1) periods. Within a level: started programs first, then least service, then deadline.
struct QueueKey {
    std::int64_t level = 0;
    bool isNew = false;
    std::uint64_t servedTokens = 0;
    core::TimePoint deadline {};
    core::TimePoint arrivedAt {};
    CallId id = 0;
    [[nodiscard]] bool operator==(const QueueKey&) const = default;
    [[nodiscard]] bool operator<(const QueueKey& other) const noexcept
    {
        return std::tie(this->level, this->isNew, this->servedTokens, this->deadline, this->arrivedAt, this->id)
            < std::tie(other.level, other.isNew, other.servedTokens, other.deadline, other.arrivedAt, other.id);
    }
};

struct RequestQueueOptions {
    std::size_t capacity = 1'000;
    core::Duration agingInterval = std::chrono::seconds(2);
};

/// \brief Bounded queue of the requests that wait for an endpoint of one service and model.
class RequestQueue {
public:
    explicit RequestQueue(RequestQueueOptions options = {})
        : options(options)
    {
    }

    /// \brief Adds a request. When the queue is full the least urgent of all, the new one included, is returned: it was
    /// not run and is refused.
    std::optional<QueuedRequest> push(QueuedRequest request);
    /// \brief Removes and returns the first request that `admitted` accepts; all when it is empty.
    std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest&)>& admitted = {});
    /// \brief Removes and returns the least urgent request of the customer.
    std::optional<QueuedRequest> evictLeastUrgent(const std::string& customer);
    /// \brief Removes and returns the requests whose deadline has passed.
    std::vector<QueuedRequest> expire(core::TimePoint now);
    bool remove(CallId id);
    /// \brief The program received service; moves its waiting requests.
    void addServedTokens(std::uint64_t program, std::uint64_t tokens);
    /// \brief A parent passes its urgency to the waiting requests of one of its sub-agents.
    void raiseUrgency(std::uint64_t program, const Urgency& parent);

    [[nodiscard]] QueueKey key(const QueuedRequest& request) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->order.size(); }
    [[nodiscard]] std::size_t capacity() const noexcept { return this->options.capacity; }
    [[nodiscard]] std::size_t size(const std::string& customer) const;

private:
    void insert(QueuedRequest request);
    QueuedRequest extract(CallId id);
    void updateProgram(std::uint64_t program, const std::function<void(QueuedRequest&)>& change);

    RequestQueueOptions options;
    std::set<QueueKey> order;
    std::unordered_map<CallId, QueuedRequest> requests;
    std::unordered_multimap<std::uint64_t, CallId> byProgram;
    std::unordered_map<std::string, std::set<QueueKey>> byCustomer;
    std::set<std::pair<core::TimePoint, CallId>> byDeadline;
};

} // namespace lagoontiller::policy
