#include "document/Difference.h"
#include "document/Merge.h"
#include "support/DocumentGenerators.h"
#include "support/EditedText.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

namespace {

std::vector<DocumentValue> small(const std::vector<std::pair<std::string, std::string>>& edits = {})
{
    auto text = support::readText(TEST_DATA "/documents/small.ini");
    for (const auto& [before, after] : edits)
        text.replace(text.find(before), before.size(), after);
    const auto parsed = parse(text);
    for (const auto& fault : parsed.faults)
        ADD_FAILURE() << format(fault, "small.ini");
    return parsed.document->values();
}

std::vector<std::string> lines(const Changes& changes)
{
    std::vector<std::string> result;
    for (const auto& change : changes)
        result.push_back(format(change));
    return result;
}

std::map<std::pair<std::string, std::string>, std::string> byKey(const std::vector<DocumentValue>& values)
{
    std::map<std::pair<std::string, std::string>, std::string> result;
    for (const auto& value : values)
        result[{ value.section, value.key }] = value.value;
    return result;
}

} // namespace

// Guards against changes that are missing from a difference or lead to other values.
RC_GTEST_PROP(DocumentDifference, AppliedGivesTheNewValues, ())
{
    const auto from = support::generatedDocument();
    const auto to = support::generatedDocument();
    const auto changes = difference(*from, *to);
    RC_CLASSIFY(!changes.empty(), "different");
    RC_ASSERT(applyChanges(from->values(), changes) == to->values());
    RC_ASSERT(difference(*from, *from).empty());
    RC_ASSERT(changes.empty() == (*from == *to));
    const auto parsed = parse(print(applyChanges(from->values(), changes)));
    RC_ASSERT(parsed.document != nullptr && *parsed.document == *to);
}

// Guards against wrong kinds, an unstable order and defaults that show up as changes.
TEST(DocumentDifference, ListsAddedRemovedAndChanged)
{
    const auto changed = small(
        { { "priority = 6\n", "priority = 2\nmax_turns = 100\n" }, { "regions = north, south\n", "regions = north\n" },
            { "[class order]", "[class night]\nmax_turns = 7\n[class order]" }, { "[vm orders-1]", "[vm orders-2]" } });
    const std::vector<std::string> expected {
        "removed [vm orders-1]",
        "removed [vm orders-1] address = 127.0.0.1:9201",
        "removed [vm orders-1] zone = north-a",
        "removed [vm orders-1] role = endpoint",
        "removed [vm orders-1] service = orders",
        "added [vm orders-2]",
        "added [vm orders-2] address = 127.0.0.1:9201",
        "added [vm orders-2] zone = north-a",
        "added [vm orders-2] role = endpoint",
        "added [vm orders-2] service = orders",
        "changed [service wording] regions: north, south -> north",
        "added [class night]",
        "added [class night] priority = 5",
        "added [class night] max_turns = 7",
        "added [class night] max_calls = 1000",
        "added [class night] max_tokens = 600000",
        "added [class night] max_wall_seconds = 3600",
        "changed [class order] priority: 6 -> 2",
    };
    EXPECT_EQ(expected, lines(difference(small(), changed)));
}

// Guards against key hashes and salts in logs, rows and the console.
TEST(DocumentDifference, ShowsOnlyTheStartOfKeyHashes)
{
    const std::string hash(64, '1');
    const std::string salt = "000102030405060708090a0b0c0d0e0f";
    const auto changed = small({ { hash, std::string(64, '2') }, { salt, std::string(32, 'a') } });
    const auto changes = difference(small(), changed);
    const std::vector<std::string> expected {
        "changed [customer workshop] key_salt: 00010203... -> aaaaaaaa...",
        "changed [customer workshop] key_hash: 11111111... -> 22222222...",
    };
    EXPECT_EQ(expected, lines(changes));
    const auto removed = difference(small(), {});
    const auto added = difference({}, small());
    for (const auto& list : { changes, removed, added }) {
        const auto json = toJson(list).dump();
        EXPECT_EQ(std::string::npos, json.find(hash));
        EXPECT_EQ(std::string::npos, json.find(salt));
        for (const auto& line : lines(list))
            EXPECT_EQ(std::string::npos, line.find(hash)) << line;
    }
    EXPECT_EQ(changed, applyChanges(small(), changes));
}

// Guards against a merge that reverts the accepted change, loses the editor's change or adds a value of neither.
RC_GTEST_PROP(DocumentMerge, KeepsTheWinnerAndEveryFreeChange, ())
{
    const auto base = support::generatedDocument()->values();
    const auto mine = support::generatedDocument()->values();
    const auto theirs = support::generatedDocument()->values();
    const auto result = merge(base, mine, theirs);
    const auto baseValues = byKey(base);
    const auto myValues = byKey(mine);
    const auto theirValues = byKey(theirs);
    const auto merged = byKey(result.values);
    RC_CLASSIFY(!result.conflicts.empty(), "conflicts");
    RC_CLASSIFY(!result.kept.empty(), "kept");
    const auto at = [](const auto& values, const auto& key) {
        const auto found = values.find(key);
        return found == values.end() ? std::optional<std::string>() : std::optional(found->second);
    };
    // Each value is the winner's, unless only the editor changed it; every change of the winner is in force.
    std::set<std::pair<std::string, std::string>> keys;
    for (const auto* const values : { &baseValues, &myValues, &theirValues, &merged }) {
        for (const auto& [key, value] : *values)
            keys.insert(key);
    }
    for (const auto& key : keys) {
        const auto kept = std::any_of(result.kept.begin(), result.kept.end(),
            [&key](const Change& change) { return std::pair(change.section(), change.key()) == key; });
        RC_ASSERT(at(merged, key) == (kept ? at(myValues, key) : at(theirValues, key)));
        if (at(theirValues, key) != at(baseValues, key))
            RC_ASSERT(at(merged, key) == at(theirValues, key));
        if (!key.second.empty() && merged.contains(key))
            RC_ASSERT(merged.contains({ key.first, "" }));
    }
    // Each change of the editor is kept, in conflict, or already made by the winner.
    std::size_t agreed = 0;
    for (const auto& change : difference(base, mine)) {
        const auto theirChanges = difference(base, theirs);
        agreed += static_cast<std::size_t>(std::count(theirChanges.begin(), theirChanges.end(), change));
    }
    RC_ASSERT(result.kept.size() + result.conflicts.size() + agreed == difference(base, mine).size());
    RC_ASSERT(merge(base, mine, base).values == mine);
    RC_ASSERT(merge(base, base, theirs).values == theirs);
}

// Guards against edits in a removed section that the merge does not report as conflicts.
TEST(DocumentMerge, ReportsEditsOfRemovedSections)
{
    const std::string night = "[class night]\nmax_turns = 7\n[class order]";
    const auto base = small({ { "[class order]", night } });
    const auto edited = small({ { "[class order]", night }, { "max_turns = 7", "max_turns = 8" } });
    const auto removed = small();
    const auto mineEdits = merge(base, edited, removed);
    ASSERT_EQ(1, mineEdits.conflicts.size());
    EXPECT_EQ("changed [class night] max_turns: 7 -> 8", format(mineEdits.conflicts[0].mine));
    EXPECT_EQ("removed [class night]", format(mineEdits.conflicts[0].theirs));
    EXPECT_EQ(removed, mineEdits.values);
    const auto mineRemoves = merge(base, removed, edited);
    EXPECT_TRUE(mineRemoves.kept.empty());
    EXPECT_EQ(6, mineRemoves.conflicts.size());
    EXPECT_EQ("changed [class night] max_turns: 7 -> 8", format(mineRemoves.conflicts[0].theirs));
    EXPECT_EQ(edited, mineRemoves.values);
}

} // namespace lagoontiller::document
