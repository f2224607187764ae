#include "gateway/TableLayoutDecision.h"

#include "gateway/TableParts.h"

#include <charconv>

namespace lagoontiller::gateway {

namespace {

/// \brief Delay after a failed call; the same as that of table watches, and growing because all nodes of a fleet may
/// start at once.
constexpr core::Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds(1'000);
/// \brief Interval at which a row that only an operator can repair is read again; 780 nodes read 390 rows per second.
constexpr core::Duration repairCheckInterval = std::chrono::seconds(2);
/// \brief Delay until the other nodes' rows have been read; they are requested at the same time as the layout row.
constexpr core::Duration nodesReadDelay = std::chrono::milliseconds(50);
/// \brief Nodes that start together wait a random time up to this before they look into the tables (48 reads), and find
/// the row of the first one afterwards.
constexpr core::Duration maxYield = std::chrono::milliseconds(500);

} // namespace

std::optional<std::uint64_t> parseTableParts(std::string_view text)
{
    std::uint64_t parts = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), parts);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
        && parts >= TableParts::minCount && parts <= TableParts::maxCount;
    return valid ? std::optional(parts) : std::nullopt;
}

TableLayoutDecision::TableLayoutDecision(std::uint64_t setting, std::uint64_t seed)
    : setting(setting)
    , random(seed)
    , backoff(minRetryDelay, maxRetryDelay)
{
}

void TableLayoutDecision::rowRead(const StoreResult<std::optional<std::string>>& value,
    const std::optional<std::set<std::uint64_t>>& stated, core::TimePoint now)
{
    if (!value) {
        this->retryAfterFailure(now);
        return;
    }
    this->backoff.reset();
    if (!*value) {
        this->decideWithoutRow(stated, now);
        return;
    }
    if (const auto parts = parseTableParts(**value))
        this->step = LayoutKnown { *parts, false };
    else
        this->step = WaitUntil { now + repairCheckInterval, LayoutObstacle::RowUnreadable };
}

void TableLayoutDecision::decideWithoutRow(const std::optional<std::set<std::uint64_t>>& stated, core::TimePoint now)
{
    if (std::exchange(this->writeRefused, false)) {
        this->step = WaitUntil { now + repairCheckInterval, LayoutObstacle::RowHidden };
        return;
    }
    if (!stated) {
        this->step = WaitUntil { now + nodesReadDelay };
        return;
    }
    if (!stated->empty()) {
        const auto parts = *stated->begin();
        if (stated->size() == 1 && parts >= TableParts::minCount && parts <= TableParts::maxCount)
            this->step = WriteLayoutRow { parts };
        else
            this->step = WaitUntil { now + repairCheckInterval, LayoutObstacle::NodesDisagree };
        return;
    }
    if (this->setting == TableParts::legacyCount) {
        this->step = WriteLayoutRow { this->setting };
        return;
    }
    if (std::exchange(this->hasYielded, true)) {
        this->step = ReadTables {};
        return;
    }
    std::uniform_int_distribution<std::int64_t> delay(0, maxYield.count());
    this->step = WaitUntil { now + core::Duration(delay(this->random)) };
}

void TableLayoutDecision::tablesRead(const StoreResult<bool>& anyRow, core::TimePoint now)
{
    if (!anyRow)
        this->retryAfterFailure(now);
    else
        this->step = WriteLayoutRow { *anyRow ? TableParts::legacyCount : this->setting };
}

void TableLayoutDecision::rowWritten(const StoreResult<bool>& applied, core::TimePoint now)
{
    if (applied && *applied) {
        this->step = LayoutKnown { std::get<WriteLayoutRow>(this->step).parts, true };
        return;
    }
    // Another node was first, or the write may have been executed or still be: only the row says which number holds.
    if (applied || applied.error() == StoreFailure::Unknown) {
        this->writeRefused = applied.has_value();
        this->step = ReadLayoutRow {};
        return;
    }
    this->retryAfterFailure(now);
}

void TableLayoutDecision::timePassed(core::TimePoint now)
{
    const auto* const wait = std::get_if<WaitUntil>(&this->step);
    if (wait != nullptr && now >= wait->at)
        this->step = ReadLayoutRow {};
}

void TableLayoutDecision::retryAfterFailure(core::TimePoint now)
{
    this->step = WaitUntil { now + this->backoff.nextDelay(this->random), LayoutObstacle::StoreUnavailable };
}

} // namespace lagoontiller::gateway
