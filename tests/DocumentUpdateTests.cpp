#include "core/Hash.h"
#include "nodes/DocumentGossip.h"

namespace lagoontiller::nodes {

namespace {

constexpr core::TimePoint start { std::chrono::seconds(100) };
const std::vector<std::string> peers { "b", "c", "d", "e", "f", "g" };

std::vector<SendMessage> messagesOf(const DocumentEffects& effects)
{
    std::vector<SendMessage> messages;
    for (const auto& effect : effects) {
        if (const auto* message = std::get_if<SendMessage>(&effect))
            messages.push_back(*message);
    }
    return messages;
}

wire::Envelope from(const std::string& sender, std::uint64_t version, wire::Envelope envelope = {})
{
    envelope.set_sender(sender);
    envelope.set_document_version(version);
    return envelope;
}

struct SplitCase {
    std::string text;
    std::string canonical;
};

class Canonical : public testing::TestWithParam<SplitCase> { };

} // namespace

// Guards against digests that differ between nodes for the same document.
TEST_P(Canonical, SectionsAreSortedAndEnded)
{
    const DocumentSections sections(GetParam().text);
    EXPECT_EQ(sections.canonicalText(), GetParam().canonical);
    EXPECT_EQ(DocumentSections(sections.canonicalText()), sections);
}

INSTANTIATE_TEST_SUITE_P(Texts, Canonical,
    testing::Values(SplitCase { "", "" }, SplitCase { "x = 1", "x = 1\n" },
        SplitCase { "# top\n[b]\nx = 1\n[a]\ny = 2", "# top\n[a]\ny = 2\n[b]\nx = 1\n" },
        SplitCase { "[a]\nx = 1\n[b]\n[a]\ny = 2\n", "[a]\nx = 1\n[a]\ny = 2\n[b]\n" },
        SplitCase { "[a\nx\n", "[a\nx\n" }, SplitCase { "[a]\nx =\n  [b]\n", "[a]\nx =\n  [b]\n" }));

// Guards against an update by sections that does not give the text that the sender holds.
RC_GTEST_PROP(DocumentUpdate, SectionsGiveTheTextOfTheSender, ())
{
    const auto makeText = [] {
        const auto section = rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4));
        std::string text;
        for (const auto& [header, value] : *rc::gen::container<std::vector<std::pair<int, int>>>(section))
            text += "[s" + std::to_string(header) + "]\nk = " + std::to_string(value) + "\n";
        return text;
    };
    RandomGenerator generator(1);
    DocumentGossip sender({}, generator);
    DocumentGossip receiver({}, generator);
    (void)sender.publish(1, makeText(), {});
    (void)receiver.publish(1, sender.text(), {});
    const auto versions = *rc::gen::inRange<std::uint64_t>(2, 5);
    for (std::uint64_t version = 2; version <= versions; ++version)
        (void)sender.publish(version, makeText(), {});
    wire::Envelope request;
    request.mutable_document_request()->set_held_version(1);
    const auto replies = messagesOf(sender.handle(from("r", 1, request), {}, start));
    RC_ASSERT(replies.size() == 1U);
    RC_ASSERT(replies[0].envelope.document_update().base_version() == 1U);
    (void)receiver.handle(from("s", versions, replies[0].envelope), {}, start);
    RC_ASSERT(receiver.version() == versions);
    RC_ASSERT(receiver.text() == sender.text());
}

// Guards against sending the whole document where a section suffices, and against omitting it where it is needed.
TEST(DocumentUpdate, WholeTextOnlyForUnknownBase)
{
    RandomGenerator generator(1);
    DocumentGossip gossip({}, generator);
    (void)gossip.publish(5, "[a]\nx = 1\n[b]\ny = 1\n", peers);
    const auto pushed = messagesOf(gossip.publish(6, "[a]\nx = 1\n[b]\ny = 2\n", peers));
    ASSERT_EQ(pushed.size(), 4U);
    std::set<std::string> receivers;
    for (const auto& message : pushed) {
        receivers.insert(message.node);
        ASSERT_EQ(message.envelope.document_update().sections_size(), 1);
        EXPECT_EQ(message.envelope.document_update().sections(0).header(), "b");
        EXPECT_TRUE(message.envelope.document_update().text().empty());
    }
    EXPECT_EQ(receivers.size(), 4U);
    wire::Envelope request;
    request.mutable_document_request()->set_held_version(3);
    const auto whole = messagesOf(gossip.handle(from("b", 3, request), peers, start));
    ASSERT_EQ(whole.size(), 1U);
    EXPECT_EQ(whole[0].envelope.document_update().base_version(), 0U);
    EXPECT_EQ(whole[0].envelope.document_update().text(), gossip.text());
}

// Guards against a text that was damaged or built from another base and is put in force.
TEST(DocumentUpdate, WrongDigestIsRefusedAndWholeTextRequested)
{
    RandomGenerator generator(1);
    DocumentGossip gossip({}, generator);
    (void)gossip.publish(1, "[a]\nx = 1\n", {});
    wire::Envelope update;
    auto& body = *update.mutable_document_update();
    body.set_version(2);
    body.set_base_version(1);
    body.add_sections()->set_header("b");
    body.mutable_sections(0)->set_text("[b]\ny = 1\n");
    body.set_digest(core::digestHex("something else"));
    const auto requests = messagesOf(gossip.handle(from("b", 2, update), peers, start));
    EXPECT_EQ(gossip.version(), 1U);
    EXPECT_EQ(gossip.rejectedCount(), 1U);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_TRUE(requests[0].envelope.has_document_request());
    EXPECT_EQ(requests[0].envelope.document_request().held_version(), 0U);
}

// Guards against sections of a refused change that remain in the stored text: changed, added, removed, and texts with
// a section other than the one that their header names.
TEST(DocumentUpdate, RefusedChangeLeavesTheTextAsItWas)
{
    struct Case {
        std::string header;
        std::string text;
        bool isRemoval;
        std::string digestOf;
    };
    const std::string held = "[a]\nx = 1\n[b]\ny = 1\n";
    const std::string misnamed = "[a]\nx = 1\n[c]\nz = 1\n[b]\ny = 1\n";
    for (const auto& each :
        { Case { "a", "[a]\nx = 2\n", false, "other" }, Case { "c", "[c]\nz = 1\n", false, "other" },
            Case { "b", "", true, "other" }, Case { "aa", "[c]\nz = 1\n", false, misnamed } }) {
        RandomGenerator generator(1);
        DocumentGossip gossip({}, generator);
        (void)gossip.publish(1, held, {});
        wire::Envelope update;
        auto& body = *update.mutable_document_update();
        body.set_version(2);
        body.set_base_version(1);
        body.add_sections()->set_header(each.header);
        body.mutable_sections(0)->set_text(each.text);
        body.mutable_sections(0)->set_removed(each.isRemoval);
        body.set_digest(core::digestHex(each.digestOf));
        EXPECT_EQ(messagesOf(gossip.handle(from("b", 2, update), peers, start)).size(), 1U);
        EXPECT_EQ(gossip.version(), 1U);
        EXPECT_EQ(gossip.rejectedCount(), 1U);
        EXPECT_EQ(gossip.text(), held) << each.header;
    }
}

// Guards against an old version that is applied.
TEST(DocumentUpdate, OlderVersionIsIgnored)
{
    RandomGenerator generator(1);
    DocumentGossip gossip({}, generator);
    (void)gossip.publish(7, "[a]\nx = 7\n", {});
    EXPECT_TRUE(gossip.publish(6, "[a]\nx = 6\n", peers).empty());
    wire::Envelope update;
    update.mutable_document_update()->set_version(6);
    update.mutable_document_update()->set_text("[a]\nx = 6\n");
    update.mutable_document_update()->set_digest(core::digestHex("[a]\nx = 6\n"));
    EXPECT_TRUE(gossip.handle(from("b", 6, update), peers, start).empty());
    EXPECT_EQ(gossip.text(), "[a]\nx = 7\n");
}

// Guards against a fetch that waits indefinitely for a dead peer, and against concurrent fetches of one document.
TEST(DocumentUpdate, OneRequestAtATimeThenAnotherPeer)
{
    RandomGenerator generator(1);
    VersionGossipSettings settings;
    DocumentGossip gossip(settings, generator);
    const auto first = messagesOf(gossip.handle(from("b", 2), peers, start));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(messagesOf(gossip.handle(from("c", 2), peers, start)).empty());
    EXPECT_TRUE(messagesOf(gossip.tick(start + settings.requestTimeout / 2)).empty());
    const auto second = messagesOf(gossip.tick(start + settings.requestTimeout));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(first[0].node, "b");
    EXPECT_EQ(second[0].node, "c");
}

// Guards against a large document that is sent several times to each node.
TEST(DocumentUpdate, LargeTextIsAnnouncedOnly)
{
    RandomGenerator generator(1);
    VersionGossipSettings settings;
    DocumentGossip gossip(settings, generator);
    const auto text = "[a]\nx = " + std::string(settings.maxPushBytes, 'x') + "\n";
    const auto pushed = messagesOf(gossip.publish(1, text, peers));
    ASSERT_EQ(pushed.size(), 4U);
    EXPECT_LT(pushed[0].envelope.ByteSizeLong(), 100U);
}

} // namespace lagoontiller::nodes
