#include "document/Document.h"
#include "support/EditedText.h"

namespace lagoontiller::document {

namespace {

// Target number of customers in two years.
constexpr int customerCount = 5700;

std::string keyOf(int customer)
{
    return "customer-" + std::to_string(customer) + ".secret-" + std::to_string(customer);
}

std::string textWithManyCustomers()
{
    auto text = support::readText(TEST_DATA "/documents/small.ini");
    for (int i = 0; i < customerCount; ++i) {
        const auto hash = newKeyHash(keyOf(i));
        text += "[customer customer-" + std::to_string(i) + "]\nkey_salt = " + hash.salt + "\nkey_hash = " + hash.hash
            + "\nclasses = order\n";
    }
    return text;
}

} // namespace

// Guards against keys that authenticate as another customer or are refused, at the target number of customers.
TEST(CustomerKeys, AreFoundAmongAllCustomers)
{
    const auto document = parse(textWithManyCustomers()).document;
    ASSERT_NE(nullptr, document);
    ASSERT_EQ(customerCount + 1, document->customers().size());
    for (int i = 0; i < customerCount; ++i) {
        const auto* const customer = customerOfKey(*document, keyOf(i));
        ASSERT_NE(nullptr, customer) << i;
        ASSERT_EQ("customer-" + std::to_string(i), customer->name);
    }
    for (const std::string key : { "", ".", "customer-1", "customer-1.", "customer-1.secret-2", "customer-1.secret-1 ",
             "customer-1.secret-11", "customer-5700.secret-5700", "Customer-1.secret-1", ".secret-1" })
        EXPECT_EQ(nullptr, customerOfKey(*document, key)) << key;
}

// Guards against a changed hash: the hashes are in documents that were accepted long ago. The value is that of
// Python's hashlib.blake2b(b"customer-1.secret-1", key=bytes(range(16)), digest_size=32).
TEST(CustomerKeys, HaveStableHashes)
{
    EXPECT_EQ("f4763041373b21b931a09ad04d522057c383ae576eeec2aa9899a019521cf50b",
        hashKey("000102030405060708090a0b0c0d0e0f", "customer-1.secret-1"));
}

// Guards against hashes in upper-case digits, which other tools print, never matching.
TEST(CustomerKeys, MatchHashesInUpperCase)
{
    auto hash = hashKey("000102030405060708090a0b0c0d0e0f", "workshop.secret");
    std::transform(hash.begin(), hash.end(), hash.begin(), [](unsigned char digit) { return std::toupper(digit); });
    auto text = support::readText(TEST_DATA "/documents/small.ini");
    text.replace(text.find(std::string(64, '1')), 64, hash);
    const auto document = parse(text).document;
    ASSERT_NE(nullptr, document);
    EXPECT_NE(nullptr, customerOfKey(*document, "workshop.secret"));
}

// Guards against invalid salts or hashes that match a key.
TEST(CustomerKeys, DoNotMatchInvalidSaltsOrHashes)
{
    const auto valid = newKeyHash("a.b");
    EXPECT_TRUE(matchesKey(valid, "a.b"));
    EXPECT_FALSE(matchesKey({ "", valid.hash }, "a.b"));
    EXPECT_FALSE(matchesKey({ "zz", valid.hash }, "a.b"));
    EXPECT_FALSE(matchesKey({ valid.salt, "" }, "a.b"));
    EXPECT_FALSE(matchesKey({ "", "" }, "a.b"));
    EXPECT_NE(valid.salt, newKeyHash("a.b").salt);
    EXPECT_NE(newSecret(), newSecret());
}

} // namespace lagoontiller::document
