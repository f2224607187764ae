#include "policy/RequestQueue.h"

#include <algorithm>

namespace lagoontiller::policy {

Urgency inheritedUrgency(const Urgency& own, const Urgency& parent) noexcept
{
    return { std::max(own.priority, parent.priority), std::min(own.deadline, parent.deadline) };
}

std::optional<QueuedRequest> RequestQueue::push(QueuedRequest request)
{
    this->insert(std::move(request));
    if (this->order.size() <= this->options.capacity) {
        return std::nullopt;
    }
    return this->extract(this->order.rbegin()->id);
}

std::optional<QueuedRequest> RequestQueue::pop(const std::function<bool(const QueuedRequest&)>& admitted)
{
    for (const QueueKey& key : this->order) {
        if (!admitted || admitted(this->requests.at(key.id))) {
            return this->extract(key.id);
        }
    }
    return std::nullopt;
}

std::optional<QueuedRequest> RequestQueue::evictLeastUrgent(const std::string& customer)
{
    const auto entry = this->byCustomer.find(customer);
    if (entry == this->byCustomer.end()) {
        return std::nullopt;
    }
    return this->extract(entry->second.rbegin()->id);
}

std::vector<QueuedRequest> RequestQueue::expire(core::TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!this->byDeadline.empty() && this->byDeadline.begin()->first <= now) {
        expired.push_back(this->extract(this->byDeadline.begin()->second));
    }
    return expired;
}

bool RequestQueue::remove(CallId id)
{
    if (!this->requests.contains(id)) {
        return false;
    }
    this->extract(id);
    return true;
}

void RequestQueue::addServedTokens(std::uint64_t program, std::uint64_t tokens)
{
    this->updateProgram(program, [tokens](QueuedRequest& request) {
        request.servedTokens += tokens;
        request.started = true;
    });
}

void RequestQueue::raiseUrgency(std::uint64_t program, const Urgency& parent)
{
    this->updateProgram(
        program, [&parent](QueuedRequest& request) { request.urgency = inheritedUrgency(request.urgency, parent); });
}

QueueKey RequestQueue::key(const QueuedRequest& request) const
{
    const std::int64_t period = request.arrivedAt.time_since_epoch() / this->options.agingInterval;
    return { period - request.urgency.priority, !request.started, request.servedTokens, request.urgency.deadline,
        request.arrivedAt, request.id };
}

std::size_t RequestQueue::size(const std::string& customer) const
{
    const auto entry = this->byCustomer.find(customer);
    return entry == this->byCustomer.end() ? 0 : entry->second.size();
}

void RequestQueue::insert(QueuedRequest request)
{
    this->remove(request.id);
    const QueueKey position = this->key(request);
    this->order.insert(position);
    this->byCustomer[request.customer].insert(position);
    this->byProgram.emplace(request.program, request.id);
    this->byDeadline.emplace(request.urgency.deadline, request.id);
    this->requests.emplace(request.id, std::move(request));
}

QueuedRequest RequestQueue::extract(CallId id)
{
    const auto entry = this->requests.find(id);
    QueuedRequest request = std::move(entry->second);
    this->requests.erase(entry);
    const QueueKey position = this->key(request);
    this->order.erase(position);
    this->byDeadline.erase({ request.urgency.deadline, id });
    const auto ofCustomer = this->byCustomer.find(request.customer);
    ofCustomer->second.erase(position);
    if (ofCustomer->second.empty()) {
        this->byCustomer.erase(ofCustomer);
    }
    const auto [first, last] = this->byProgram.equal_range(request.program);
    this->byProgram.erase(std::find_if(first, last, [id](const auto& each) { return each.second == id; }));
    return request;
}

void RequestQueue::updateProgram(std::uint64_t program, const std::function<void(QueuedRequest&)>& change)
{
    std::vector<CallId> waiting;
    const auto [first, last] = this->byProgram.equal_range(program);
    std::for_each(first, last, [&waiting](const auto& each) { waiting.push_back(each.second); });
    for (const CallId id : waiting) {
        QueuedRequest request = this->extract(id);
        change(request);
        this->insert(std::move(request));
    }
}

} // namespace lagoontiller::policy
