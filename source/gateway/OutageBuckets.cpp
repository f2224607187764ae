#include "gateway/OutageBuckets.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "proto/gateway.pb.h"

#include <charconv>

namespace lagoontiller::gateway {

namespace {

RowKey keyOf(std::size_t number)
{
    return { OutageBuckets::table, {}, std::to_string(number) };
}

} // namespace

OutageBuckets::OutageBuckets(RowStore& store, StoreHealth& storeHealth, NodeRegistry& nodeRegistry, std::string self,
    OutageBucketOptions options)
    : store(store)
    , storeHealth(storeHealth)
    , nodeRegistry(nodeRegistry)
    , self(std::move(self))
    , options(options)
{
}

std::size_t OutageBuckets::bucketOf(const std::string& program) noexcept
{
    return core::hash64(program) % count;
}

bool OutageBuckets::isAlive(const std::string& holder) const
{
    const auto colon = holder.rfind(':');
    return colon != std::string::npos && this->nodeRegistry.isAlive(holder.substr(0, colon), holder.substr(colon + 1));
}

bool OutageBuckets::mayGrant(const std::string& program, core::Duration retention, core::BootTimePoint now) const
{
    const auto& bucket = this->buckets[bucketOf(program)];
    if (!this->isHolder(program) || now - this->confirmedAt >= this->options.maxContactAge)
        return false;
    const auto quarantine = this->options.maxContactAge + retention + this->options.takeOverMargin;
    return !bucket.takenOverAt || now - *bucket.takenOverAt > quarantine;
}

bool OutageBuckets::isHolder(const std::string& program) const
{
    return !this->released && this->holder(program) == this->self;
}

const std::string& OutageBuckets::holder(const std::string& program) const
{
    return this->buckets[bucketOf(program)].holder;
}

void OutageBuckets::release(bool used)
{
    if (this->released)
        return;
    this->released = true;
    if (used)
        return;
    RowTransaction transaction;
    for (std::size_t number = 0; number < count; ++number) {
        const auto& bucket = this->buckets[number];
        if (bucket.holder != this->self || bucket.takenOverAt || bucket.writeInProgress)
            continue;
        transaction.conditions.push_back({ keyOf(number), bucket.version });
        transaction.removes.push_back(keyOf(number));
    }
    if (!transaction.removes.empty())
        this->store.transact(std::move(transaction), this->storeHealth.callTimeout(), [](const auto&) {});
}

void OutageBuckets::tick(core::TimePoint now)
{
    if (this->released || this->readInProgress || now < this->nextReadAt || this->storeHealth.unreachable())
        return;
    // Nodes that start together do not read together.
    const auto interval = this->options.readInterval;
    const auto spread = core::Duration(
        static_cast<core::Duration::rep>(core::hash64(this->self) % static_cast<std::uint64_t>(interval.count())));
    this->nextReadAt = now + (this->nextReadAt == core::TimePoint() ? (interval + spread) / 2 : interval);
    this->readRows();
}

void OutageBuckets::readRows()
{
    this->readInProgress = true;
    RowRange range;
    range.table = table;
    const auto sentAt = core::BootClock::now();
    this->store.read(range, this->storeHealth.callTimeout(), [this, sentAt](const StoreResult<RowPage>& page) {
        this->readInProgress = false;
        this->rowsRead(sentAt, page);
    });
}

void OutageBuckets::rowsRead(core::BootTimePoint sentAt, const StoreResult<RowPage>& page)
{
    if (!page)
        return;
    std::array<const Row*, count> rows {};
    for (const auto& row : page->rows) {
        std::size_t number = count;
        const auto& key = row.key.key;
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), number);
        if (parsed.ec == std::errc() && number < count)
            rows[number] = &row;
    }
    // At the first read the nodes may not know each other yet: each would take all buckets, also those of live holders.
    const bool firstRead = this->confirmedAt == core::BootTimePoint();
    this->confirmedAt = sentAt;
    std::vector<std::size_t> uncertain;
    for (std::size_t number = 0; number < count; ++number) {
        auto& bucket = this->buckets[number];
        if (bucket.writeInProgress)
            continue;
        this->applyRow(bucket, rows[number]);
        const bool wasMissing = bucket.holderMissingSince.has_value();
        this->observeHolder(bucket);
        const bool takes = !firstRead && this->shouldTake(number);
        if (takes && bucket.holder.empty())
            this->take(number);
        else if (takes || (bucket.holderMissingSince && !wasMissing))
            uncertain.push_back(number);
    }
    if (!uncertain.empty())
        this->takeAfterRefresh(std::move(uncertain));
}

void OutageBuckets::takeAfterRefresh(std::vector<std::size_t> numbers)
{
    this->nodeRegistry.refreshOtherZones(core::monotonicNow(), [this, numbers = std::move(numbers)] {
        for (const auto number : numbers) {
            auto& bucket = this->buckets[number];
            this->observeHolder(bucket);
            if (!this->released && !bucket.writeInProgress && this->shouldTake(number))
                this->take(number);
        }
    });
}

void OutageBuckets::applyRow(Bucket& bucket, const Row* row)
{
    wire::OutageBucketRecord record;
    const bool present = row != nullptr && !row->removed && record.ParseFromString(row->value);
    bucket.version = row == nullptr ? 0 : row->version;
    const auto previous = std::exchange(bucket.holder, present ? record.holder() : std::string());
    if (previous != bucket.holder)
        bucket.holderMissingSince.reset();
    // A write without an answer may have taken effect at any time until now, and the previous holder may have read the
    // row before that.
    if (previous != this->self && bucket.holder == this->self && bucket.takenOverAt)
        bucket.takenOverAt = core::BootClock::now();
    // The time of taking over stays: the answer may be behind the last write, which the next read then shows again.
    if (previous == this->self && bucket.holder != this->self)
        core::logInfo("outage_bucket_lost").with("holder", bucket.holder);
}

void OutageBuckets::observeHolder(Bucket& bucket) const
{
    if (bucket.holder.empty() || bucket.holder == this->self || this->isAlive(bucket.holder))
        bucket.holderMissingSince.reset();
    else if (!bucket.holderMissingSince)
        bucket.holderMissingSince = this->confirmedAt;
}

bool OutageBuckets::shouldTake(std::size_t number) const
{
    const auto& bucket = this->buckets[number];
    if (!bucket.holder.empty()
        && (!bucket.holderMissingSince || this->confirmedAt - *bucket.holderMissingSince < this->options.takeOverDelay))
        return false;
    // One node of each zone tries; the condition decides among zones.
    const auto hash = core::hash64(std::to_string(number), bucket.version);
    const auto score = [hash](const std::string& address) { return core::combine(hash, core::hash64(address)); };
    std::uint64_t own = 0;
    std::uint64_t highest = 0;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        highest = std::max(highest, score(peer.address));
        if (peer.self)
            own = score(peer.address);
    }
    return own == highest;
}

void OutageBuckets::take(std::size_t number)
{
    auto& bucket = this->buckets[number];
    wire::OutageBucketRecord record;
    record.set_holder(this->self);
    RowTransaction transaction;
    transaction.conditions.push_back({ keyOf(number), bucket.version });
    transaction.puts.push_back({ keyOf(number), record.SerializeAsString(), 0, false });
    bucket.writeInProgress = true;
    const bool hadHolder = bucket.version != 0;
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [this, number, hadHolder](const StoreResult<TransactionResult>& result) {
            auto& taken = this->buckets[number];
            taken.writeInProgress = false;
            // The condition states whether there was another holder, also if the write has no answer and shows in a
            // later read.
            if (hadHolder)
                taken.takenOverAt = core::BootClock::now();
            if (!result || !result->applied)
                return;
            taken.holder = this->self;
            taken.version = result->version;
            if (!hadHolder)
                taken.takenOverAt.reset();
            core::logInfo("outage_bucket_taken").with("bucket", number).with("first", hadHolder ? "no" : "yes");
        });
}

} // namespace lagoontiller::gateway
