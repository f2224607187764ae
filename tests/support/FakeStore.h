#pragma once

#include "core/Time.h"
#include "state/Backoff.h"
#include "tests/support/FakeTable.h"

#include <deque>
#include <functional>
#include <variant>

namespace lagoontiller::tests {

/// \brief What happens to one write.
enum class Fate : int {
    Normal,
    /// The write takes effect and its reply is lost.
    LostReply,
    /// The write never arrives and its reply is lost.
    LostWrite,
    /// The caller times out and the write takes effect later.
    LateEffect,
};

/// \brief Runs store operations under virtual time with latencies, outages and chosen fates of writes.
class FakeStore {
public:
    using Request
        = std::variant<state::WriteTransaction, state::WriteObject, state::ReadRow, state::ScanRows, state::ReadObject>;
    using Reply = std::variant<state::TransactionResult, state::WriteResult, state::RowResult, state::RowsResult,
        state::ObjectResult>;
    using Deliver = std::function<void(const Reply&)>;

    explicit FakeStore(std::uint64_t seed)
        : generator(seed)
    {
    }

    void submit(const Request& request, Deliver deliver, core::TimePoint now)
    {
        this->submitted += 1;
        if (this->down) {
            // Half of the operations fail before anything is sent, the others end in a time-out.
            const bool notSent = this->generator() % 2 == 0;
            const auto code = notSent ? core::ResultCode::StoreUnavailable : core::ResultCode::StoreOutcomeUnknown;
            this->at(now + std::chrono::milliseconds(20), [=] { deliver(failureOf(request, code)); });
            return;
        }
        const bool isWrite = std::holds_alternative<state::WriteTransaction>(request);
        auto fate = Fate::Normal;
        if (isWrite && !this->fates.empty()) {
            fate = this->fates.front();
            this->fates.pop_front();
        }
        const auto arrival = now + this->latency();
        const auto timeOut = now + std::chrono::milliseconds(500);
        const auto unknown = failureOf(request, core::ResultCode::StoreOutcomeUnknown);
        switch (fate) {
        case Fate::Normal:
            this->at(arrival, [=, this] {
                const auto reply = this->execute(request);
                this->at(arrival + this->latency(), [=] { deliver(reply); });
            });
            break;
        case Fate::LostReply:
            this->at(arrival, [=, this] { (void)this->execute(request); });
            this->at(timeOut, [=] { deliver(unknown); });
            break;
        case Fate::LostWrite:
            this->at(timeOut, [=] { deliver(unknown); });
            break;
        case Fate::LateEffect:
            this->at(timeOut, [=] { deliver(unknown); });
            this->at(now + std::chrono::milliseconds(500 + this->generator() % 3000),
                [=, this] { (void)this->execute(request); });
            break;
        }
    }

    void run(core::TimePoint now)
    {
        while (!this->events.empty() && this->events.begin()->first <= now) {
            const auto event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            event();
        }
    }

    FakeTable table;
    bool down = false;
    bool slow = false;
    std::deque<Fate> fates;
    std::uint64_t submitted = 0;

private:
    [[nodiscard]] core::Duration latency()
    {
        return std::chrono::milliseconds(this->slow ? 300 + this->generator() % 900 : 2 + this->generator() % 10);
    }

    void at(core::TimePoint time, std::function<void()> event) { this->events.emplace(time, std::move(event)); }

    [[nodiscard]] static Reply failureOf(const Request& request, core::ResultCode code)
    {
        const auto error = core::failure(code, "store");
        switch (request.index()) {
        case 0:
            return state::TransactionResult(error);
        case 1:
            return state::WriteResult(error);
        case 2:
            return state::RowResult(error);
        case 3:
            return state::RowsResult(error);
        default:
            return state::ObjectResult(error);
        }
    }

    [[nodiscard]] Reply execute(const Request& request)
    {
        if (const auto* write = std::get_if<state::WriteTransaction>(&request)) {
            return state::TransactionResult(this->table.commit(write->transaction));
        }
        if (const auto* write = std::get_if<state::WriteObject>(&request)) {
            this->table.objects[write->key] = write->bytes;
            return state::WriteResult();
        }
        if (const auto* read = std::get_if<state::ReadRow>(&request)) {
            return state::RowResult(this->table.read(read->key));
        }
        if (const auto* scan = std::get_if<state::ScanRows>(&request)) {
            return state::RowsResult(this->table.scan(*scan));
        }
        const auto found = this->table.objects.find(std::get<state::ReadObject>(request).key);
        return state::ObjectResult(found == this->table.objects.end() ? std::nullopt : std::optional(found->second));
    }

    state::Generator generator;
    std::multimap<core::TimePoint, std::function<void()>> events;
};

} // namespace lagoontiller::tests
