#include "gateway/TableLayout.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Maximum part of an unreadable row that is logged.
constexpr std::size_t maxLoggedBytes = 40;
/// \brief Interval of the checks for nodes that use another number; as often as heartbeats change.
constexpr core::Duration nodeCheckInterval = std::chrono::seconds(1);

std::string_view toString(LayoutObstacle obstacle) noexcept
{
    switch (obstacle) {
    case LayoutObstacle::None:
        break;
    case LayoutObstacle::StoreUnavailable:
        return "store_unavailable";
    case LayoutObstacle::RowUnreadable:
        return "row_unreadable";
    case LayoutObstacle::RowHidden:
        return "row_hidden";
    case LayoutObstacle::NodesDisagree:
        return "nodes_disagree";
    }
    return "none";
}

/// \brief Reads of the first rows of one table's parts.
struct TableRead {
    std::size_t pending = TableParts::legacyCount;
    bool anyRow = false;
    std::optional<StoreFailure> failure;
};

} // namespace

TableLayout::TableLayout(RowStore& store, const StoreHealth& storeHealth, TableParts& parts, std::uint64_t setting,
    std::vector<std::string> tables, TableLayoutEvents events, std::uint64_t seed)
    : store(store)
    , storeHealth(storeHealth)
    , parts(parts)
    , setting(setting)
    , tables(std::move(tables))
    , events(std::move(events))
    , decision(setting, seed)
{
}

void TableLayout::tick(core::TimePoint now)
{
    if (this->parts.known()) {
        this->warnOfOtherNodes(now);
        return;
    }
    if (this->callInProgress)
        return;
    this->decision.timePassed(now);
    this->proceed();
}

void TableLayout::proceed()
{
    // A copy: performing a step may replace it.
    const auto step = this->decision.nextStep();
    std::visit([this](const auto& each) { this->perform(each); }, step);
}

void TableLayout::perform(const ReadLayoutRow&)
{
    this->callInProgress = true;
    this->store.read(
        { table, {}, key, {}, 1 }, this->storeHealth.callTimeout(), [this](const StoreResult<RowPage>& page) {
            this->callInProgress = false;
            StoreResult<std::optional<std::string>> value;
            if (!page)
                value = tl::unexpected(page.error());
            else if (!page->rows.empty() && page->rows.front().key.key == key && !page->rows.front().removed)
                value = page->rows.front().value;
            this->rowText = value ? value->value_or(std::string()) : std::string();
            this->decision.rowRead(value, this->events.statedParts(), core::monotonicNow());
            this->proceed();
        });
}

void TableLayout::perform(const ReadTables&)
{
    this->callInProgress = true;
    this->readTable(0);
}

void TableLayout::readTable(std::size_t number)
{
    auto read = std::make_shared<TableRead>();
    const auto done = [this, number, read](const StoreResult<RowPage>& page) {
        if (!page)
            read->failure = page.error();
        else
            read->anyRow = read->anyRow || !page->rows.empty();
        if (--read->pending > 0)
            return;
        if (!read->anyRow && !read->failure && number + 1 < this->tables.size()) {
            this->readTable(number + 1);
            return;
        }
        this->callInProgress = false;
        if (!read->anyRow && read->failure)
            this->decision.tablesRead(tl::unexpected(*read->failure), core::monotonicNow());
        else
            this->decision.tablesRead(read->anyRow, core::monotonicNow());
        this->proceed();
    };
    for (std::uint64_t part = 0; part < TableParts::legacyCount; ++part)
        this->store.read(
            { this->tables[number], std::to_string(part), {}, {}, 1 }, this->storeHealth.callTimeout(), done);
}

void TableLayout::perform(const WriteLayoutRow& step)
{
    this->callInProgress = true;
    const RowKey rowKey { table, {}, key };
    RowTransaction transaction;
    transaction.conditions.push_back({ rowKey, 0 });
    transaction.puts.push_back({ rowKey, std::to_string(step.parts), 0, false });
    this->store.transact(
        std::move(transaction), this->storeHealth.callTimeout(), [this](const StoreResult<TransactionResult>& result) {
            this->callInProgress = false;
            this->decision.rowWritten(
                result.map([](const TransactionResult& each) { return each.applied; }), core::monotonicNow());
            this->proceed();
        });
}

void TableLayout::perform(const WaitUntil& step)
{
    if (step.obstacle == this->loggedObstacle || step.obstacle == LayoutObstacle::None)
        return;
    this->loggedObstacle = step.obstacle;
    core::logError("table_layout_unknown")
        .with("reason", toString(step.obstacle))
        .with("row", this->rowText.substr(0, maxLoggedBytes));
}

void TableLayout::perform(const LayoutKnown& step)
{
    this->parts.set(step.parts);
    core::logInfo("table_layout").with("parts", step.parts).with("recorded_here", step.recorded ? "yes" : "no");
    this->compareWithSetting(this->setting);
    this->events.known(step.parts);
}

void TableLayout::compareWithSetting(std::uint64_t configured) const
{
    if (this->parts.known() && this->parts.count() != configured)
        core::logWarning("table_parts_differ").with("setting", configured).with("in_force", this->parts.count());
}

void TableLayout::warnOfOtherNodes(core::TimePoint now)
{
    if (now < this->nextNodeCheckAt)
        return;
    this->nextNodeCheckAt = now + nodeCheckInterval;
    auto stated = this->events.statedParts().value_or(std::set<std::uint64_t>());
    stated.erase(this->parts.count());
    if (stated == this->otherNumbers)
        return;
    this->otherNumbers = std::move(stated);
    for (const auto number : this->otherNumbers)
        core::logError("nodes_use_other_table_parts").with("theirs", number).with("in_force", this->parts.count());
}

} // namespace lagoontiller::gateway
