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

/// \brief Urgency of a request; a waiting parent program passes its own to its sub-agents.
struct Urgency {
    /// \brief Document priority, 0 to 9; 9 is served first.
    int priority = 0;
    core::TimePoint deadline = core::TimePoint::max();
    [[nodiscard]] bool operator==(const Urgency&) const = default;
};

/// \brief Returns the higher priority and the earlier deadline of both.
[[nodiscard]] Urgency inheritedUrgency(const Urgency& own, const Urgency& parent) noexcept;

struct QueuedRequest {
    CallId id = 0;
    std::uint64_t program = 0;
    std::string customer;
    Urgency urgency;
    /// \brief Arrival, or the first refusal of the program if `AdmissionController` remembers one.
    core::TimePoint arrivedAt {};
    /// \brief Tokens that the program's earlier calls have computed.
    std::uint64_t servedTokens = 0;
    /// \brief Whether an earlier turn of the program was answered.
    bool started = false;
};

/// \brief Sort key of a request in the queue; the order of two requests does not change with time.
///
/// Ageing: waiting for one `agingInterval` raises a request by one priority level. `level` is therefore the number of
/// the interval in which the request arrived minus its priority, and a waiting request is overtaken only by requests
/// that arrive within (priority difference + 1) intervals. Within a level, requests of started programs come first,
/// then those of programs with fewer served tokens, then those with an earlier deadline.
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

    /// \brief Adds a request. When this exceeds the capacity, evicts and returns the least urgent request, which can be
    /// the new one; it has not run and the caller must refuse it.
    std::optional<QueuedRequest> push(QueuedRequest request);
    /// \brief Removes and returns the most urgent request that `admitted` accepts (any request if `admitted` is empty);
    /// empty when there is none.
    std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest&)>& admitted = {});
    /// \brief Removes and returns the least urgent request of the customer; empty when it has none.
    std::optional<QueuedRequest> evictLeastUrgent(const std::string& customer);
    /// \brief Removes and returns the requests whose deadline has passed.
    std::vector<QueuedRequest> expire(core::TimePoint now);
    /// \brief Removes a request. Returns false when it is not in the queue.
    bool remove(CallId id);
    /// \brief Adds to the served tokens of the program's waiting requests, marks the program as started and reorders
    /// its requests.
    void addServedTokens(std::uint64_t program, std::uint64_t tokens);
    /// \brief Raises the waiting requests of a sub-agent program to the urgency of its parent.
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
