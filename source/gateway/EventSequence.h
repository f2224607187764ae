#pragma once

#include "gateway/EventStreamParser.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lagoontiller::gateway {

/// \brief How the endpoints of a service number the events of a stream, as far as earlier streams showed.
///
/// Some irregular streams don't change a verdict that many regular ones support, and a verdict that no longer applies
/// is dropped after some streams.
class EventNumbering {
public:
    /// \brief Records a stream whose numbers grew by one, or one whose numbers grew by more.
    void observe(bool consecutive) noexcept;
    [[nodiscard]] bool isConsecutive() const noexcept { return this->balance >= certainBalance; }
    [[nodiscard]] bool isSparse() const noexcept { return this->balance <= -certainBalance; }

private:
    static constexpr int certainBalance = 3;
    static constexpr int maxBalance = 8;

    /// \brief Consecutive minus sparse streams, limited to ±`maxBalance`.
    int balance = 0;
};

/// \brief How an event follows the events before it.
enum class EventOrder : int {
    InOrder,
    /// \brief At least one event before it is missing.
    Missing,
    /// \brief Its number is not higher than the last one.
    Repeated,
    /// \brief The first data of a resumed run has no number, so that nothing tells whether it continues the stream.
    Unnumbered,
};

[[nodiscard]] std::string_view toString(EventOrder order) noexcept;

/// \brief Checks the numbers of a stream's events across all attempts that bring it.
///
/// A stream is consecutive if its numbers begin at 0 or 1 or have grown by one, or if its service is known for it;
/// every gap is a missing event then. Otherwise the numbers only need to grow. The first number of a resumed run must
/// be the next one unless the stream or its service is known to be sparse.
class EventSequence {
public:
    EventSequence() = default;
    /// \brief Continues a stream after the event that the caller received last.
    explicit EventSequence(std::optional<std::uint64_t> resumedAfter)
        : lastNumber(resumedAfter)
    {
    }

    /// \brief Starts a run that continues after `last()`, or a new one without it.
    void beginRun() noexcept;
    /// \brief Judges the next event of the run. An event that is not in order changes nothing.
    [[nodiscard]] EventOrder accept(const StreamEvent& event, const EventNumbering& service) noexcept;

    /// \brief Number of the last event in order.
    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept { return this->lastNumber; }
    /// \brief Whether another run may continue the stream; it would repeat data without a number.
    [[nodiscard]] bool canBeResumed() const noexcept { return !this->hasUnnumberedData; }
    /// \brief Whether the numbers grew by one; empty if they don't tell.
    [[nodiscard]] std::optional<bool> isConsecutive() const noexcept { return this->consecutiveSteps; }

private:
    [[nodiscard]] EventOrder acceptNumber(std::uint64_t number, const EventNumbering& service) noexcept;

    std::optional<std::uint64_t> lastNumber;
    /// \brief Set by the first step between two numbers.
    std::optional<bool> consecutiveSteps;
    bool beganAtStart = false;
    bool hasUnnumberedData = false;
    /// \brief Whether the run continues the stream and has brought no number yet.
    bool awaitsNext = false;
};

} // namespace lagoontiller::gateway
