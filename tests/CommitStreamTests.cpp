// Group commit of one stream. Guards against early or false commit reports and against unbounded pending records.
#include "state/CommitStream.h"
#include "state/StoreKeys.h"

#include <gtest/gtest.h>

namespace lagoontiller::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CommitStreamTest : public testing::Test {
protected:
    CommitStreamTest()
    {
        EXPECT_TRUE(this->stream.setPartition(1, 5, 11).empty());
        EXPECT_TRUE(this->stream.setPartition(2, 6, 12).empty());
    }

    core::Expected<AppendId> append(core::PartitionId partition, std::size_t size = 1)
    {
        records::Entry entry;
        entry.set_partition(partition);
        entry.mutable_turn_finished()->set_answer(std::string(size, 'x'));
        return this->stream.append({ entry }, this->now);
    }

    // Appends one record to each partition and returns the transaction that carries them.
    WriteTransaction startBatch()
    {
        (void)this->append(1);
        (void)this->append(2);
        return only<WriteTransaction>(this->stream.tick(this->now));
    }

    template <typename Effect> static Effect only(const CommitEffects& effects)
    {
        EXPECT_EQ(effects.size(), 1U);
        return std::get<Effect>(effects.at(0)); // Throws, and so fails the test, on any other effect.
    }

    static std::vector<AppendId> committed(const CommitEffects& effects)
    {
        std::vector<AppendId> committedIds;
        for (const auto& effect : effects) {
            if (const auto* done = std::get_if<AppendCommitted>(&effect)) {
                committedIds.push_back(done->id);
            }
        }
        return committedIds;
    }

    static tables::Row ownerRow(core::PartitionId partition, core::Epoch epoch, tables::RowVersion version)
    {
        records::OwnerRow row;
        row.set_epoch(epoch);
        row.set_stream("s");
        return { ownerKey(partition), version, row.SerializeAsString() };
    }

    static TransactionResult failed(const std::vector<std::string>& keys)
    {
        return tables::TransactionReply { false, {}, keys };
    }

    TransactionResult unknown = core::failure(core::ResultCode::StoreOutcomeUnknown, "");
    TransactionResult unavailable = core::failure(core::ResultCode::StoreUnavailable, "");
    TransactionResult success = tables::TransactionReply { true, {}, {} };
    CommitStream stream { "s", {}, Generator(1) };
    core::TimePoint now { seconds(100) };
};

TEST_F(CommitStreamTest, OneTransactionCarriesAllQueuedRecordsAndItsConditions)
{
    const auto write = this->startBatch();
    const std::vector<tables::Condition> expected { { logKey("s", 1), 0 }, { ownerKey(1), 11 }, { ownerKey(2), 12 } };
    EXPECT_EQ(write.transaction.conditions, expected);
    ASSERT_EQ(write.transaction.puts.size(), 1U);
    const auto row = decodeLogRow(write.transaction.puts[0].value);
    records::Batch batch;
    ASSERT_TRUE(row && batch.ParseFromString(row->batch));
    EXPECT_EQ(batch.entries_size(), 2);
    EXPECT_EQ(batch.entries(0).epoch(), 5U);
    (void)this->append(1);
    EXPECT_TRUE(this->stream.tick(this->now + seconds(1)).empty()) << "a second transaction is in flight";
    EXPECT_EQ(committed(this->stream.onTransaction(write.operation, this->success, this->now)),
        (std::vector<AppendId> { 1, 2 }));
    EXPECT_TRUE(this->stream.tick(this->now + milliseconds(59)).empty()) << "the minimum interval was ignored";
    EXPECT_EQ(this->stream.tick(this->now + milliseconds(60)).size(), 1U);
    EXPECT_EQ(this->stream.storeWrites(), 2U);
}

TEST_F(CommitStreamTest, LargeBatchIsWrittenAsAnObjectFirst)
{
    (void)this->append(1, 70'000);
    const auto object = only<WriteObject>(this->stream.tick(this->now));
    EXPECT_GT(object.bytes.size(), 70'000U);
    const auto write = only<WriteTransaction>(this->stream.onObjectWritten(object.operation, {}, this->now));
    EXPECT_EQ(decodeLogRow(write.transaction.puts.at(0).value)->object, object.key);
    EXPECT_EQ(committed(this->stream.onTransaction(write.operation, this->success, this->now)).size(), 1U);
    EXPECT_EQ(this->stream.takeObjectsBefore(1).size(), 0U);
    EXPECT_EQ(this->stream.takeObjectsBefore(2), std::vector<std::string> { object.key });
}

struct ReadBackCase {
    bool present;
    bool sameBatch;
    std::size_t committed;
    std::uint64_t nextSequence;
};

class ReadBack : public CommitStreamTest, public testing::WithParamInterface<ReadBackCase> { };

// The reply is lost: only reading the row shows whether the batch is durable.
TEST_P(ReadBack, DecidesAnUnknownResult)
{
    const auto& given = this->GetParam();
    const auto write = this->startBatch();
    EXPECT_TRUE(this->stream.onTransaction(write.operation, this->unknown, this->now).empty());
    EXPECT_FALSE(this->stream.storeAvailable());
    this->now = *this->stream.nextTick();
    const auto read = only<ReadRow>(this->stream.tick(this->now));
    EXPECT_EQ(read.key, logKey("s", 1));
    const auto value = given.sameBatch ? write.transaction.puts[0].value : encodeLogRow({ "other", "", "" });
    const RowResult row = given.present ? std::optional(tables::Row { read.key, 3, value }) : std::nullopt;
    EXPECT_EQ(committed(this->stream.onRow(read.operation, row, this->now)).size(), given.committed);
    EXPECT_EQ(this->stream.nextSequence(), given.nextSequence);
    if (given.committed == 0) {
        this->now = *this->stream.nextTick();
        const auto again = only<WriteTransaction>(this->stream.tick(this->now));
        EXPECT_EQ(again.transaction.conditions[0].key, logKey("s", given.nextSequence));
        const auto id = decodeLogRow(write.transaction.puts[0].value)->batchId;
        EXPECT_EQ(decodeLogRow(again.transaction.puts[0].value)->batchId, id);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, ReadBack,
    testing::Values(
        ReadBackCase { true, true, 2, 2 }, ReadBackCase { false, true, 0, 1 }, ReadBackCase { true, false, 0, 2 }));

TEST_F(CommitStreamTest, LostPartitionRejectsOnlyItsAppends)
{
    const auto write = this->startBatch();
    const auto check = only<ReadRow>(this->stream.onTransaction(write.operation, failed({ ownerKey(1) }), this->now));
    EXPECT_EQ(check.key, ownerKey(1));
    const auto effects = this->stream.onRow(check.operation, std::optional(ownerRow(1, 7, 20)), this->now);
    ASSERT_EQ(effects.size(), 2U);
    EXPECT_EQ(std::get<PartitionLost>(effects[0]), (PartitionLost { 1, 5 }));
    EXPECT_EQ(std::get<AppendRejected>(effects[1]).id, 1U);
    EXPECT_FALSE(this->append(1));
    const auto again = only<WriteTransaction>(this->stream.tick(this->now + seconds(1)));
    EXPECT_EQ(again.transaction.conditions[1], (tables::Condition { ownerKey(2), 12 }));
    EXPECT_EQ(
        committed(this->stream.onTransaction(again.operation, this->success, this->now)), std::vector<AppendId> { 2 });
}

// A snapshot by the same node increments the row version: the commit is retried, not rejected.
TEST_F(CommitStreamTest, OwnWriteToTheRowDoesNotRejectAppends)
{
    const auto write = this->startBatch();
    const auto check = only<ReadRow>(this->stream.onTransaction(write.operation, failed({ ownerKey(1) }), this->now));
    EXPECT_TRUE(this->stream.onRow(check.operation, std::optional(ownerRow(1, 5, 20)), this->now).empty());
    const auto again = only<WriteTransaction>(this->stream.tick(this->now + seconds(1)));
    EXPECT_EQ(again.transaction.conditions[1], (tables::Condition { ownerKey(1), 20 }));
}

TEST_F(CommitStreamTest, RetriesWithJitteredBackoffWhileTheStoreIsDown)
{
    auto write = this->startBatch();
    core::Duration longest {};
    for (int attempt = 0; attempt < 12; ++attempt) {
        EXPECT_TRUE(this->stream.onTransaction(write.operation, this->unavailable, this->now).empty());
        const auto delay = *this->stream.nextTick() - this->now;
        EXPECT_GE(delay, milliseconds(50));
        EXPECT_LE(delay, seconds(5));
        longest = std::max(longest, delay);
        this->now += delay;
        write = only<WriteTransaction>(this->stream.tick(this->now));
    }
    EXPECT_GE(longest, milliseconds(2500));
    EXPECT_EQ(committed(this->stream.onTransaction(write.operation, this->success, this->now)).size(), 2U);
    EXPECT_TRUE(this->stream.storeAvailable());
}

TEST_F(CommitStreamTest, PendingRecordsAreBoundedInBytesAndAge)
{
    for (int megabytes = 0; megabytes < 63; ++megabytes) {
        ASSERT_TRUE(this->append(1, 1 << 20));
    }
    EXPECT_EQ(this->append(1, 1 << 20).error().code, core::ResultCode::StoreUnavailable);
    EXPECT_TRUE(this->append(1, 1));
    this->now += seconds(60);
    EXPECT_TRUE(this->append(1, 1));
    this->now += core::Duration(1);
    const auto refused = this->append(1, 1);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(refused.error().ran, core::RunState::NotRun);
}

TEST_F(CommitStreamTest, DroppedPartitionStillGetsTheResultInFlight)
{
    const auto write = this->startBatch();
    const auto queued = this->append(1);
    const auto rejected = this->stream.dropPartition(1);
    EXPECT_EQ(only<AppendRejected>(rejected).id, *queued);
    EXPECT_EQ(committed(this->stream.onTransaction(write.operation, this->success, this->now)).size(), 2U);
    EXPECT_EQ(this->stream.pendingBytes(), 0U);
}

TEST_F(CommitStreamTest, RepliesToOlderOperationsAreIgnored)
{
    const auto write = this->startBatch();
    EXPECT_TRUE(this->stream.onTransaction(write.operation + 1, this->success, this->now).empty());
    EXPECT_TRUE(this->stream.onTransaction(0, this->success, this->now).empty());
    EXPECT_EQ(committed(this->stream.onTransaction(write.operation, this->success, this->now)).size(), 2U);
    EXPECT_TRUE(this->stream.onTransaction(write.operation, this->success, this->now).empty());
}

} // namespace
} // namespace lagoontiller::state
