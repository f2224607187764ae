#include "document/Acceptance.h"
#include "support/AcceptanceTable.h"
#include "support/EditedText.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

namespace {

using support::AcceptanceTable;

std::string textWith(const std::string& currency)
{
    static const auto text = support::readText(TEST_DATA "/documents/small.ini");
    return "[deployment]\ncurrency = " + currency + text.substr(text.find('\n'));
}

AcceptanceRequest request(const std::string& currency, DocumentVersion base, const std::string& id)
{
    return { textWith(currency), "author of " + id, base, 1'700'000'000'000, id };
}

// Performs all steps without store failures.
Acceptance::Step run(Acceptance& acceptance, AcceptanceTable& table)
{
    while (!acceptance.isFinished()) {
        if (const auto* const read = std::get_if<ReadRow>(&acceptance.step()))
            acceptance.onRow(table.read(read->key));
        else
            acceptance.onReply(table.commit(std::get<WriteRows>(acceptance.step()).transaction));
    }
    return acceptance.step();
}

Acceptance::Step run(const AcceptanceRequest& request, AcceptanceTable& table)
{
    Acceptance acceptance(request);
    return run(acceptance, table);
}

// Performs the reads up to the first write.
tables::Transaction stepToWrite(Acceptance& acceptance, const AcceptanceTable& table)
{
    while (const auto* const read = std::get_if<ReadRow>(&acceptance.step()))
        acceptance.onRow(table.read(read->key));
    return std::get<WriteRows>(acceptance.step()).transaction;
}

VersionRow versionRow(const AcceptanceTable& table, DocumentVersion version)
{
    return *decodeVersionRow(table.read(versionRowKey(version))->value);
}

DocumentVersion currentVersion(const AcceptanceTable& table)
{
    const auto row = table.read(std::string(currentRowKey));
    return row ? decodeCurrentRow(row->value)->version : 0;
}

} // namespace

// Guards against version rows without author, time, base, text or difference, and against full key hashes in them.
TEST(DocumentAcceptance, StoresEveryVersionWithItsOrigin)
{
    AcceptanceTable table;
    const auto first = std::get<Accepted>(run(request("ms", 0, "a"), table));
    EXPECT_EQ(1, first.version);
    const auto second = std::get<Accepted>(run(request("cent", 1, "b"), table));
    EXPECT_EQ(2, second.version);
    EXPECT_EQ("cent", second.document->currency());
    EXPECT_EQ(2, currentVersion(table));
    const VersionRow expected { 2, 1, textWith("cent"), "author of b", 1'700'000'000'000, "b",
        R"([{"change":"changed","section":"deployment","key":"currency","old":"ms","new":"cent"}])" };
    EXPECT_EQ(expected, versionRow(table, 2));
    EXPECT_EQ(textWith("ms"), versionRow(table, 1).text);
    EXPECT_EQ(std::string::npos, versionRow(table, 1).differenceJson.find(std::string(64, '1')));
}

// Guards against a conflict reply without the difference to the current version, or that loses the input.
TEST(DocumentAcceptance, ConflictReturnsTheDifferenceAndAMerge)
{
    AcceptanceTable table;
    (void)run(request("ms", 0, "a"), table);
    auto edited = request("ms", 1, "loser");
    edited.text.replace(edited.text.find("priority = 6"), 12, "priority = 3");
    Acceptance loser(edited);
    const auto late = stepToWrite(loser, table);
    (void)run(request("cent", 1, "winner"), table);
    loser.onReply(table.commit(late));
    const auto result = std::get<VersionConflict>(run(loser, table));
    EXPECT_EQ(2, result.currentVersion);
    EXPECT_EQ("author of winner", result.currentAuthor);
    ASSERT_EQ(1, result.changesSinceBase.size());
    EXPECT_EQ("changed [deployment] currency: ms -> cent", format(result.changesSinceBase[0]));
    EXPECT_TRUE(result.merge.conflicts.empty());
    ASSERT_EQ(1, result.merge.kept.size());
    EXPECT_EQ("changed [class order] priority: 6 -> 3", format(result.merge.kept[0]));
    auto again = request("", 2, "again");
    again.text = print(result.merge.values);
    const auto accepted = std::get<Accepted>(run(again, table));
    EXPECT_EQ("cent", accepted.document->currency());
    EXPECT_EQ(3, accepted.document->programClass("order")->priority);
}

// Guards against a second write after a lost reply of a transaction that took effect.
TEST(DocumentAcceptance, LostReplyIsReadBackBeforeAnyOtherWrite)
{
    AcceptanceTable table;
    Acceptance acceptance(request("ms", 0, "a"));
    (void)table.commit(stepToWrite(acceptance, table));
    acceptance.onReplyLost();
    EXPECT_EQ(versionRowKey(1), std::get<ReadRow>(acceptance.step()).key);
    EXPECT_EQ(1, std::get<Accepted>(run(acceptance, table)).version);
    EXPECT_EQ(2, table.writes.size());
}

// Guards against a transaction without one of its two conditions. Each of them alone holds in the races below, because
// both rows are always written together; the other one is needed when one of the rows is restored by hand.
TEST(DocumentAcceptance, WritesUnderBothConditions)
{
    AcceptanceTable table;
    (void)run(request("ms", 0, "a"), table);
    Acceptance acceptance(request("cent", 1, "b"));
    const std::vector<tables::Condition> expected { { std::string(currentRowKey), 1 }, { versionRowKey(2), 0 } };
    EXPECT_EQ(expected, stepToWrite(acceptance, table).conditions);
}

// Guards against two versions of one request when the transaction of a lost reply takes effect after the read-back.
TEST(DocumentAcceptance, LateTransactionDoesNotTakeEffectTwice)
{
    AcceptanceTable table;
    Acceptance acceptance(request("ms", 0, "a"));
    const auto first = stepToWrite(acceptance, table);
    acceptance.onReplyLost();
    EXPECT_EQ(first, stepToWrite(acceptance, table));
    EXPECT_EQ(1, std::get<Accepted>(run(acceptance, table)).version);
    EXPECT_FALSE(table.commit(first).committed);
    EXPECT_EQ(1, currentVersion(table));
}

// Guards against "not run" for a request that may take effect, and against endless retries while the store is down.
TEST(DocumentAcceptance, EndsWhenTheStoreStaysDown)
{
    AcceptanceTable table;
    Acceptance unread(request("ms", 0, "a"));
    for (int i = 0; i < Acceptance::maxStoreFailures; ++i) {
        ASSERT_FALSE(unread.isFinished());
        unread.onReadFailed();
    }
    const auto notRun = std::get<Refused>(unread.step()).error;
    EXPECT_EQ(core::ResultCode::StoreUnavailable, notRun.code);
    EXPECT_EQ(core::RunState::NotRun, notRun.ran);
    Acceptance unknown(request("ms", 0, "b"));
    (void)stepToWrite(unknown, table);
    unknown.onReplyLost();
    while (!unknown.isFinished())
        unknown.onReadFailed();
    const auto mayHaveRun = std::get<Refused>(unknown.step()).error;
    EXPECT_EQ(core::ResultCode::DocumentOutcomeUnknown, mayHaveRun.code);
    EXPECT_EQ(core::RunState::MayHaveRun, mayHaveRun.ran);
}

// Guards against accepting a faulty text, a base that never existed, or a row that cannot be read.
TEST(DocumentAcceptance, RefusesFaultsUnknownBasesAndMalformedRows)
{
    AcceptanceTable table;
    const auto faulty = std::get<Refused>(run(AcceptanceRequest { "[deployment]\n", "x", 0, 0, "a" }, table));
    EXPECT_EQ(core::ResultCode::DocumentFault, faulty.error.code);
    EXPECT_EQ(parse("[deployment]\n").faults, faulty.faults);
    EXPECT_EQ(core::ResultCode::InvalidField, std::get<Refused>(run(request("ms", 1, "b"), table)).error.code);
    (void)table.commit({ "", {}, { { std::string(currentRowKey), "{}" } }, {} });
    EXPECT_EQ(core::ResultCode::Internal, std::get<Refused>(run(request("ms", 0, "c"), table)).error.code);
}

namespace {

// Two operators who edit until the generated decisions are used up. Each decision is a number from 0 to 99.
class ConcurrentEdits {
public:
    explicit ConcurrentEdits(std::vector<int> decisions)
        : decisions(std::move(decisions))
    {
    }

    void run()
    {
        while (this->position < this->decisions.size()) {
            const auto index = static_cast<std::size_t>(this->nextDecision() % 2);
            this->stepOperator(index);
            if (this->nextDecision() < 20)
                this->table.deliver(static_cast<std::size_t>(this->nextDecision()));
            if (this->table.writes.size() != this->checkedWrites)
                this->checkAccepted();
            this->checkedWrites = this->table.writes.size();
        }
        this->table.deliverAll();
        this->checkAccepted();
        this->checkHistory();
    }

    std::map<std::string, DocumentVersion> accepted;

private:
    int nextDecision() { return this->position < this->decisions.size() ? this->decisions[this->position++] : 99; }

    void stepOperator(std::size_t index)
    {
        auto& operation = this->operations[index];
        if (!operation) {
            const auto id = "op" + std::to_string(++this->started);
            operation.emplace(request(id, currentVersion(this->table), id));
            this->ids[index] = id;
        }
        if (const auto* const read = std::get_if<ReadRow>(&operation->step())) {
            if (this->nextDecision() < 15)
                operation->onReadFailed();
            else
                operation->onRow(this->table.read(read->key));
        } else {
            this->write(*operation, std::get<WriteRows>(operation->step()).transaction);
        }
        if (operation->isFinished()) {
            this->record(this->ids[index], operation->step());
            operation.reset();
        }
    }

    void write(Acceptance& operation, const tables::Transaction& transaction)
    {
        const int outcome = this->nextDecision();
        if (outcome < 40)
            return operation.onReply(this->table.commit(transaction));
        if (outcome < 60)
            (void)this->table.commit(transaction);
        else if (outcome < 80)
            this->table.holdBack(transaction);
        operation.onReplyLost();
    }

    void record(const std::string& id, const Acceptance::Step& result)
    {
        if (const auto* const done = std::get_if<Accepted>(&result))
            this->accepted[id] = done->version;
        else if (std::holds_alternative<VersionConflict>(result))
            this->notRun.insert(id);
        else if (std::get<Refused>(result).error.ran == core::RunState::NotRun)
            this->notRun.insert(id);
    }

    // An accepted version is never changed and never greater than the current one.
    void checkAccepted() const
    {
        for (const auto& [id, version] : this->accepted) {
            RC_ASSERT(versionRow(this->table, version).acceptanceId == id);
            RC_ASSERT(versionRow(this->table, version).text == textWith(id));
            RC_ASSERT(version <= currentVersion(this->table));
        }
    }

    // Versions increase by one, every row is written once, and each request took effect at most once.
    void checkHistory() const
    {
        DocumentVersion last = 0;
        std::set<std::string> idsWritten;
        for (const auto& put : this->table.writes) {
            if (put.key == currentRowKey) {
                RC_ASSERT(decodeCurrentRow(put.value)->version == last + 1);
                ++last;
                continue;
            }
            const auto row = *decodeVersionRow(put.value);
            RC_ASSERT(put.key == versionRowKey(last));
            RC_ASSERT(row.version == last);
            RC_ASSERT(row.base + 1 == last);
            RC_ASSERT(idsWritten.insert(row.acceptanceId).second);
            RC_ASSERT(!this->notRun.contains(row.acceptanceId));
        }
        RC_ASSERT(last == currentVersion(this->table));
    }

    std::vector<int> decisions;
    std::size_t position = 0;
    AcceptanceTable table;
    std::array<std::optional<Acceptance>, 2> operations;
    std::array<std::string, 2> ids;
    int started = 0;
    std::size_t checkedWrites = 0;
    std::set<std::string> notRun;
};

} // namespace

// Guards against an accepted version that is lost or reverted, a request that takes effect twice, and a refusal "not
// run" of a request that takes effect, when two operators race and replies are lost or transactions arrive late.
RC_GTEST_PROP(DocumentAcceptance, RacingOperatorsNeverLoseAVersion, ())
{
    const auto decisions = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    ConcurrentEdits edits(decisions);
    edits.run();
    RC_CLASSIFY(edits.accepted.size() > 5, "more than 5 accepted");
}

} // namespace lagoontiller::document
