#include "document/Document.h"
#include "support/DocumentGenerators.h"
#include "support/EditedText.h"

namespace lagoontiller::document {

namespace {

std::shared_ptr<const Document> example(const std::string& name)
{
    return parse(support::readText(REPOSITORY "/examples/" + name)).document;
}

} // namespace

// Guards against values that do not survive a round trip through the printer and the parser.
RC_GTEST_PROP(DocumentValues, SurvivePrintingAndParsing, ())
{
    const auto document = support::generatedDocument();
    const auto again = parse(print(*document));
    RC_ASSERT(again.faults.empty());
    RC_ASSERT(*again.document == *document);
    RC_ASSERT(again.document->vms() == document->vms());
    RC_ASSERT(again.document->services() == document->services());
    RC_ASSERT(again.document->customers() == document->customers());
    RC_ASSERT(again.document->limits() == document->limits());
}

// Guards against the order of sections in the text changing the document: home regions depend on the order of regions.
TEST(DocumentValues, AreInOrderOfNames)
{
    const auto document = example("nilavilakku.ini");
    ASSERT_NE(nullptr, document);
    const std::vector<Region> expected { { "calicut" }, { "ernakulam" }, { "trivandrum" } };
    EXPECT_EQ(expected, document->regions());
    for (std::size_t i = 1; i < document->vms().size(); ++i)
        EXPECT_LT(document->vms()[i - 1].name, document->vms()[i].name);
}

// Guards against wrong types, units and defaults of values, and against examples without the promised VMs.
TEST(DocumentValues, OfExamplesAreAsWritten)
{
    const auto document = example("minningarskjoldur.ini");
    ASSERT_NE(nullptr, document);
    EXPECT_EQ("Minningarskjöldur", document->name());
    const auto& vms = document->vms();
    const auto runs
        = [](const std::string& service) { return [service](const Vm& vm) { return vm.service == service; }; };
    EXPECT_EQ(12, std::count_if(vms.begin(), vms.end(), [](const Vm& vm) { return vm.role == VmRole::Entry; }));
    EXPECT_EQ(10, std::count_if(vms.begin(), vms.end(), runs("inscription-wording")));
    EXPECT_EQ(15, std::count_if(vms.begin(), vms.end(), runs("orders-payments")));
    EXPECT_EQ((Vm { "orders-payments-01", "127.0.0.1:9401", "reykjavik-a", "reykjavik", VmRole::Endpoint,
                  "orders-payments" }),
        *document->vm("orders-payments-01"));
    EXPECT_EQ((Service { "orders-payments", ServiceKind::Tool, {}, {}, true, { "/engravings/cut", "/charges/take" },
                  false, 30000, 0.3, 0.7 }),
        *document->service("orders-payments"));
    EXPECT_EQ((ProgramClass { "order", 6, 40, 200, 200000, 7200 }), *document->programClass("order"));
    EXPECT_EQ((Model { "wording-8b", "2026-10", { "icelandic", "verse" }, 32768 }), *document->model("wording-8b"));
    EXPECT_EQ((Limits { 4194304, 1000, 15000 }), document->limits());
    EXPECT_EQ("reykjavik", document->zone("reykjavik-b")->region);
    EXPECT_EQ(nullptr, document->vm("orders-payments-16"));
    EXPECT_EQ(nullptr, document->region(""));
}

// Guards against repeating a call whose path is listed as non-repeatable, also when a query follows the path.
TEST(DocumentValues, TellWhichPathsMayRepeat)
{
    const auto document = example("minningarskjoldur.ini");
    const auto& service = *document->service("orders-payments");
    EXPECT_TRUE(service.mayRepeat("/orders"));
    EXPECT_TRUE(service.mayRepeat("/charges"));
    EXPECT_FALSE(service.mayRepeat("/charges/take"));
    EXPECT_FALSE(service.mayRepeat("/charges/take?amount=1"));
}

} // namespace lagoontiller::document
