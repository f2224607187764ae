#include "support/ByteMutations.h"
#include "support/DocumentProperty.h"
#include "support/EditedText.h"

namespace lagoontiller::document {

// Guards against crashes and wrong fault positions on arbitrary bytes.
RC_GTEST_PROP(DocumentRobustness, HoldsForArbitraryBytes, (const std::string& bytes))
{
    RC_ASSERT(support::holdsForBytes(bytes));
}

// Guards against the same failures on mutated valid documents: the property of tests/fuzz/DocumentFuzz.cpp, bounded.
TEST(DocumentRobustness, HoldsForMutatedDocumentsAndSettings)
{
    std::mt19937 random(20261204);
    const std::vector<std::string> seeds {
        support::readText(TEST_DATA "/documents/small.ini"),
        support::readText(REPOSITORY "/examples/settings.ini"),
    };
    int accepted = 0;
    for (int i = 0; i < 4000; ++i) {
        const auto text = support::mutated(seeds[static_cast<std::size_t>(i) % seeds.size()], random);
        ASSERT_TRUE(support::holdsForBytes(text)) << text;
        accepted += parse(text).document != nullptr ? 1 : 0;
    }
    // Without accepted mutants the round trip would not be tested at all.
    EXPECT_GT(accepted, 20);
}

} // namespace lagoontiller::document
