#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/RowStore.h"

#include <array>

namespace lagoontiller::gateway {

/// \brief Intervals of `OutageBuckets`. All nodes that share a store must use the same values.
struct OutageBucketOptions {
    /// \brief Interval of the reads; a holder that died is noticed within this time and that of its heartbeats.
    core::Duration readInterval = std::chrono::seconds(5);
    /// \brief Time without contact to the store after which a holder grants nothing more.
    core::Duration maxContactAge = std::chrono::seconds(15);
    /// \brief Time for which a holder must seem dead. Nodes that start together learn of each other one by one; without
    /// the delay they took most buckets from live holders and then granted nothing for more than a minute.
    core::Duration takeOverDelay = std::chrono::seconds(15);
    /// \brief Added to the time in which a new holder grants nothing; covers a turn in progress when its program is
    /// forgotten, and the way of the last write.
    core::Duration takeOverMargin = std::chrono::seconds(10);
};

/// \brief Which start of a node grants the outage parts of the programs of each bucket.
///
/// Each bucket of program ids has a row that names its holder. A node takes a bucket without a holder, or one whose
/// holder has seemed dead for `takeOverDelay`, under a condition. After taking the bucket of another holder it grants
/// nothing for as long as that one may go on (`maxContactAge`) and programs that it granted an outage part may return,
/// and `takeOverMargin`. So the outage part of a program is granted by one holder only, also if all nodes are lost in
/// the middle of an outage. A holder that stops as planned and has granted nothing removes its rows, so that its
/// successors can grant at once.
class OutageBuckets {
public:
    /// \brief `self` is NAME:INCARNATION of this node.
    OutageBuckets(RowStore& store, StoreHealth& storeHealth, NodeRegistry& nodeRegistry, std::string self,
        OutageBucketOptions options = {});

    /// \brief Reads the rows now and then while the store responds, and takes buckets; call several times a second.
    void tick(core::TimePoint now);
    /// \brief Whether this node may grant the outage part of the program, which may return within
    /// `retention` after the beginning of a turn.
    [[nodiscard]] bool mayGrant(const std::string& program, core::Duration retention, core::BootTimePoint now) const;
    /// \brief Whether this node is the holder of the program's bucket.
    [[nodiscard]] bool isHolder(const std::string& program) const;
    /// \brief NAME:INCARNATION of the holder of the program's bucket; empty if it is not known.
    [[nodiscard]] const std::string& holder(const std::string& program) const;
    /// \brief Gives up all buckets; `used` states whether any outage part was granted or given up: a successor that is
    /// not told of it must not grant it again. Called on shutdown.
    void release(bool used);

    static constexpr auto table = "outage_buckets";
    static constexpr std::size_t count = 32;

    [[nodiscard]] static std::size_t bucketOf(const std::string& program) noexcept;

private:
    struct Bucket {
        std::string holder;
        std::uint64_t version = 0;
        bool writeInProgress = false;
        /// \brief Time of the first of the reads in a row at which the holder seemed dead; empty if it does not.
        std::optional<core::BootTimePoint> holderMissingSince;
        /// \brief Time at which this node took the bucket from another holder; empty if it is the first one.
        std::optional<core::BootTimePoint> takenOverAt;
    };

    void readRows();
    void rowsRead(core::BootTimePoint sentAt, const StoreResult<RowPage>& page);
    void applyRow(Bucket& bucket, const Row* row);
    void take(std::size_t number);
    [[nodiscard]] bool isAlive(const std::string& holder) const;
    /// \brief Updates since when the holder seems dead.
    void observeHolder(Bucket& bucket) const;
    [[nodiscard]] bool shouldTake(std::size_t number) const;
    /// \brief Reads the nodes of all zones again, then takes those of the buckets that it should take. Other zones are
    /// read seldom: a node that started after the last read is not known and seems dead.
    void takeAfterRefresh(std::vector<std::size_t> numbers);

    RowStore& store;
    StoreHealth& storeHealth;
    NodeRegistry& nodeRegistry;
    std::string self;
    OutageBucketOptions options;
    std::array<Bucket, count> buckets;
    /// \brief Time of sending of the last read that was answered.
    core::BootTimePoint confirmedAt {};
    bool readInProgress = false;
    bool released = false;
    core::TimePoint nextReadAt {};
};

} // namespace lagoontiller::gateway
