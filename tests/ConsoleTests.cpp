#include "operators/Charts.h"
#include "operators/StatusPage.h"
#include "support/Browser.h"
#include "support/EditedText.h"
#include "support/OperatorServer.h"

namespace lagoontiller::tests {

namespace {

std::string smallText()
{
    return support::readText(TEST_DATA "/documents/small.ini");
}

/// \brief A console with a signed-in browser.
class Console : public testing::Test {
protected:
    Console()
        : browser(this->server.address)
    {
        EXPECT_EQ(303, this->browser.signIn(OperatorServer::key).status);
    }

    // Imports the text and accepts its preview.
    Page acceptText(Browser& client, const std::string& text)
    {
        client.get("/console/edit");
        EXPECT_EQ(200, client.submit("/console/import", { { "text", text } }).status);
        return client.submit("/console/draft", { { "do", "accept" } });
    }

    // Opens the form of the version in force and previews one changed field.
    Page previewChange(Browser& client, const std::string& field, const std::string& value)
    {
        client.get("/console/edit");
        return client.submit("/console/draft", { { "do", "check" }, { field, value } });
    }

    // Index of a section of smallText in the form.
    static std::string field(std::size_t section, const std::string& key)
    {
        return std::to_string(section) + "." + key;
    }

    static constexpr std::size_t deployment = 0;
    static constexpr std::size_t firstVm = 5;
    static constexpr std::size_t orderClass = 13;

    OperatorServer server;
    Browser browser;
};

struct Request {
    const char* method;
    const char* path;
};

class ConsoleWithoutSession : public testing::TestWithParam<Request> { };

} // namespace

// Guards against a page that is served, or a change that is made, without a session.
TEST_P(ConsoleWithoutSession, RequiresSignIn)
{
    OperatorServer server;
    Browser browser(server.address);
    const auto page = std::string(GetParam().method) == "GET" ? browser.get(GetParam().path)
                                                              : browser.submit(GetParam().path, { { "do", "accept" } });
    if (page.status == 303)
        EXPECT_EQ("/console/sign-in", page.location);
    else
        EXPECT_EQ(401, page.status);
    EXPECT_FALSE(page.has("Sign out"));
}

INSTANTIATE_TEST_SUITE_P(Table, ConsoleWithoutSession,
    testing::Values(Request { "GET", "/" }, Request { "GET", "/console/status" }, Request { "GET", "/console/edit" },
        Request { "GET", "/console/history" }, Request { "GET", "/console/version?n=1" },
        Request { "POST", "/console/draft" }, Request { "POST", "/console/import" },
        Request { "POST", "/console/sign-out" }));

// Guards against unlimited sign-in attempts, and against a limit that a valid key bypasses.
TEST(ConsoleSignIn, IsRefusedAndThenLimitedPerAddress)
{
    OperatorServer server;
    Browser browser(server.address);
    for (int count = 0; count < 5; ++count)
        EXPECT_EQ(401, browser.signIn("operator.wrong").status);
    EXPECT_EQ(429, browser.signIn(OperatorServer::key).status);
    server.advance(std::chrono::minutes(10));
    EXPECT_EQ(303, browser.signIn(OperatorServer::key).status);
}

// Guards against an attacker who bypasses the limit per address with many addresses.
TEST(ConsoleSignIn, IsLimitedInAll)
{
    operators::SessionStore sessions;
    for (int count = 0; count < 50; ++count) {
        const auto address = "192.0.2." + std::to_string(count);
        EXPECT_TRUE(sessions.mayAttemptSignIn(address, {}));
        sessions.recordFailure(address, {});
    }
    EXPECT_FALSE(sessions.mayAttemptSignIn("192.0.2.99", {}));
}

// Guards against cross-site submission of the sign-in form, and against a session without an author for the history.
TEST(ConsoleSignIn, NeedsTheTokenOfItsFormAndAName)
{
    OperatorServer server;
    Browser browser(server.address);
    browser.get("/console/sign-in");
    EXPECT_EQ(403, browser.submit("/console/sign-in", { { "key", OperatorServer::key }, { "token", "x" } }).status);
    EXPECT_EQ(422, browser.signIn(OperatorServer::key, " ").status);
}

// Guards against a session cookie that scripts or other sites can use, and against sessions that never expire.
TEST_F(Console, SessionHasAStrictCookieAndAnIdleLimit)
{
    EXPECT_EQ(1, this->browser.cookies.size());
    this->server.advance(std::chrono::minutes(29));
    EXPECT_EQ(200, this->browser.get("/console/status").status);
    this->server.advance(std::chrono::minutes(30));
    EXPECT_EQ(303, this->browser.get("/console/status").status);
    this->browser.get("/console/sign-in");
    EXPECT_EQ("; Path=/console; HttpOnly; SameSite=Strict", this->browser.cookieAttributes);
}

// Guards against loss of input when the session ends before the form is submitted.
TEST_F(Console, DraftSurvivesTheEndOfTheSession)
{
    this->browser.get("/console/edit");
    this->server.advance(std::chrono::hours(1));
    const auto ended = this->browser.submit("/console/draft", { { field(deployment, "name"), "Kept name" } });
    EXPECT_EQ(401, ended.status);
    const auto again
        = this->browser.submit("/console/sign-in", { { "key", OperatorServer::key }, { "author", "Anjali" } });
    EXPECT_EQ(200, again.status);
    EXPECT_TRUE(again.has("value=\"Kept name\""));
}

// Guards against a draft that another site submitted and the console restores as the operator's.
TEST_F(Console, DraftOfAnotherSiteIsDropped)
{
    this->browser.get("/console/edit");
    this->browser.origin = "http://192.0.2.1";
    const auto draft = this->browser.hidden;
    const auto refused = this->browser.submit("/console/draft", { { "csrf", "0" }, { "0.name", "Forged" } });
    EXPECT_EQ(403, refused.status);
    EXPECT_FALSE(refused.has("Forged"));
    this->browser.cookies.clear();
    this->browser.hidden = draft;
    const auto ended = this->browser.submit("/console/draft", { { "0.name", "Forged" } });
    EXPECT_EQ(401, ended.status);
    EXPECT_FALSE(ended.has("Forged"));
}

// Guards against cross-site request forgery.
TEST_F(Console, RefusesPostsWithoutTheToken)
{
    this->acceptText(this->browser, smallText());
    this->previewChange(this->browser, field(deployment, "name"), "Forged");
    EXPECT_EQ(403, this->browser.submit("/console/draft", { { "do", "accept" }, { "csrf", "" } }).status);
    this->browser.get("/console/status");
    EXPECT_EQ(403, this->browser.submit("/console/sign-out", { { "csrf", "0" } }).status);
    EXPECT_FALSE(this->browser.get("/console/history").has("Version 2"));
}

// Guards against a fault that is not shown next to its field, and against loss of input in the same form.
TEST_F(Console, ShowsAllFaultsBesideTheirFieldsAndKeepsTheInput)
{
    this->acceptText(this->browser, smallText());
    this->browser.get("/console/edit");
    // Two kinds of sections are changed one after the other; the second fault is found only across sections.
    this->browser.submit(
        "/console/draft", { { "do", "show class 0" }, { field(firstVm, "address"), "tables.example" } });
    const auto page
        = this->browser.submit("/console/draft", { { "do", "check" }, { field(orderClass, "max_tokens"), "5" } });
    EXPECT_EQ(422, page.status);
    EXPECT_TRUE(page.has("2 faults"));
    const auto address = page.body.find("id=\"s5-address\" name=\"5.address\" value=\"tables.example\"");
    ASSERT_NE(std::string::npos, address);
    EXPECT_LT(page.body.find("is not an IP number with a port", address), page.body.find("id=\"s5-zone\""));
    const auto tokens = page.body.find("id=\"s13-max_tokens\" name=\"13.max_tokens\" value=\"5\"");
    ASSERT_NE(std::string::npos, tokens);
    EXPECT_LT(page.body.find("is smaller than one call", tokens), page.body.find("id=\"s13-max_wall_seconds\""));
}

// Guards against an accepted version that is not shown, and against changes beyond the previewed ones.
TEST_F(Console, AcceptsAPreviewedVersionAndShowsIt)
{
    EXPECT_TRUE(this->acceptText(this->browser, smallText()).has("Version 1 is accepted"));
    const auto preview = this->previewChange(this->browser, field(deployment, "name"), "Renamed");
    EXPECT_TRUE(preview.has("Nothing has taken effect yet"));
    EXPECT_TRUE(preview.has("Renamed"));
    const auto accepted = this->browser.submit("/console/draft", { { "do", "accept" } });
    EXPECT_TRUE(accepted.has("Version 2 is accepted"));
    const auto version = this->browser.get("/console/version?n=2");
    EXPECT_TRUE(version.has("by Anjali, made from version 1; in force"));
    EXPECT_TRUE(version.has("Renamed"));
    EXPECT_TRUE(this->browser.get("/console/edit").has("value=\"Renamed\""));
}

// Guards against a section that cannot be added or removed, and against key hashes shown in full.
TEST_F(Console, AddsAndRemovesSections)
{
    this->acceptText(this->browser, smallText());
    this->browser.get("/console/edit");
    auto page = this->browser.submit("/console/draft", { { "do", "add region" } });
    EXPECT_TRUE(page.has("new region"));
    page = this->browser.submit("/console/draft", { { "do", "remove 3" } });
    EXPECT_FALSE(page.has("new region"));
    page = this->browser.submit("/console/draft", { { "do", "show customer 0" } });
    EXPECT_TRUE(page.has("11111111... (kept while this is empty)"));
    EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "check" }, { "12.key_hash", "" } })
                    .has("does not differ from version 1"));
}

// Guards against input lost in a concurrent edit, and against a merge that reverts the accepted changes.
TEST_F(Console, ConflictShowsTheWinnerAndKeepsTheInput)
{
    this->acceptText(this->browser, smallText());
    this->previewChange(this->browser, field(deployment, "name"), "Mine");
    const auto mine = this->browser.hidden;
    Browser other(this->server.address);
    other.signIn(OperatorServer::key, "Gu\xC3\xB0r\xC3\xBAn");
    this->previewChange(other, field(orderClass, "priority"), "8");
    EXPECT_EQ(200, other.submit("/console/draft", { { "do", "accept" } }).status);

    this->browser.hidden = mine;
    const auto conflict = this->browser.submit("/console/draft", { { "do", "accept" } });
    EXPECT_EQ(409, conflict.status);
    EXPECT_TRUE(conflict.has("Gu\xC3\xB0r\xC3\xBAn was faster: version 2"));
    EXPECT_TRUE(conflict.has("Mine"));
    const auto merged = this->browser.submit("/console/draft", { { "do", "check" } });
    EXPECT_TRUE(merged.has("differences from version 2"));
    EXPECT_FALSE(merged.has("priority</td>"));
    EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "accept" } }).has("Version 3 is accepted"));
    this->browser.get("/console/edit");
    const auto classes = this->browser.submit("/console/draft", { { "do", "show class 0" } });
    EXPECT_TRUE(classes.has("name=\"13.priority\" value=\"8\""));
}

// Guards against a conflict when the same form is submitted twice.
TEST_F(Console, SecondAcceptanceOfOneFormIsTheSameVersion)
{
    this->acceptText(this->browser, smallText());
    this->previewChange(this->browser, field(deployment, "name"), "Once");
    const auto form = this->browser.hidden;
    for (int count = 0; count < 2; ++count) {
        this->browser.hidden = form;
        EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "accept" } }).has("Version 2 is accepted"));
    }
    this->browser.hidden = form;
    EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "outcome" } }).has("Version 2 is accepted"));
}

// Guards against an accepted version that is reported as failed, or accepted twice, because a reply was lost.
TEST_F(Console, LostReplyIsReadBack)
{
    this->acceptText(this->browser, smallText());
    for (const bool takesEffect : { true, false }) {
        this->previewChange(this->browser, field(deployment, "name"), takesEffect ? "First" : "Second");
        this->server.table.loseReplies(1, takesEffect);
        EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "accept" } })
                        .has(takesEffect ? "Version 2 is accepted" : "Version 3 is accepted"));
    }
}

// Guards against a version that was not written and is reported as accepted.
TEST_F(Console, AskingForTheOutcomeSaysThatNothingWasAccepted)
{
    this->acceptText(this->browser, smallText());
    this->previewChange(this->browser, field(deployment, "name"), "Never");
    const auto page = this->browser.submit("/console/draft", { { "do", "outcome" } });
    EXPECT_TRUE(page.has("Version 2 does not exist: your draft was not accepted"));
    EXPECT_TRUE(page.has("Try to accept again"));
}

// Guards against a history that cannot be used as a base, or that is shown although the store is down.
TEST_F(Console, OldVersionIsTheBaseOfANewOne)
{
    this->acceptText(this->browser, smallText());
    this->previewChange(this->browser, field(deployment, "name"), "Renamed");
    this->browser.submit("/console/draft", { { "do", "accept" } });
    const auto page = this->browser.get("/console/edit?from=1");
    EXPECT_TRUE(page.has("The form has the values of version 1"));
    this->browser.submit("/console/draft", { { "do", "check" } });
    EXPECT_TRUE(this->browser.submit("/console/draft", { { "do", "accept" } }).has("Version 3 is accepted"));
    EXPECT_TRUE(this->browser.get("/console/edit").has("value=\"Small\""));
    EXPECT_EQ(404, this->browser.get("/console/edit?from=9").status);
    this->server.table.setDown(true);
    EXPECT_EQ(503, this->browser.get("/console/history").status);
}

namespace {

class HostileValue : public Console, public testing::WithParamInterface<const char*> { };

} // namespace

// Guards against HTML injection through values, and against values that add lines to the document.
TEST_P(HostileValue, IsEscapedOnEveryPage)
{
    const std::string value = GetParam();
    this->acceptText(this->browser, smallText());
    auto page = this->previewChange(this->browser, field(deployment, "name"), value);
    EXPECT_FALSE(page.has("<script")) << page.body;
    EXPECT_FALSE(page.has("\"onmouseover"));
    EXPECT_FALSE(page.has("[region east]</td>"));
    page = this->browser.submit("/console/draft", { { "do", "show region 0" }, { "1:name", value } });
    EXPECT_FALSE(page.has("<script"));
    page = this->browser.submit("/console/draft", { { "do", "check" } });
    EXPECT_FALSE(page.has("<script"));
    EXPECT_EQ(422, page.status);
    EXPECT_FALSE(this->browser.get("/console/edit?from=" + core::encodeUrl(value)).has("<script"));
    EXPECT_FALSE(this->browser.signIn("wrong", value).has("<script"));
}

INSTANTIATE_TEST_SUITE_P(Table, HostileValue,
    testing::Values("<script>alert(1)</script>", "\" onmouseover=\"alert(1)", "'><script src=x>",
        "a\n[region east]\nb = c", "</textarea><script>", "&lt;script&gt;"));

// Guards against a value that the document would silently truncate at a comment character.
TEST_F(Console, ValueThatWouldBeCutIsAFault)
{
    this->acceptText(this->browser, smallText());
    const auto page = this->previewChange(this->browser, field(deployment, "name"), "one ; two");
    EXPECT_EQ(422, page.status);
    EXPECT_TRUE(page.has("would be cut short to &quot;one&quot;"));
    EXPECT_TRUE(page.has("value=\"one ; two\""));
}

// Guards against malformed forms that crash the process or cause reads out of bounds.
TEST_F(Console, MalformedFormsAreRefused)
{
    this->acceptText(this->browser, smallText());
    for (const auto* const draft : { "", "[]", "{}", "{\"base\":1,\"sections\":[[]]}", "{\"base\":-1}" }) {
        this->browser.get("/console/edit");
        EXPECT_EQ(400, this->browser.submit("/console/draft", { { "draft", draft }, { "do", "check" } }).status);
    }
    this->browser.get("/console/edit");
    EXPECT_EQ(200, this->browser.submit("/console/draft", { { "do", "remove 99999999999999999999" } }).status);
    EXPECT_EQ(200, this->browser.submit("/console/draft", { { "do", "show vm 777" }, { "99.name", "x" } }).status);
}

// Guards against a status page that fails on a partial status or shows values unescaped.
TEST(StatusPage, ShowsWhatIsThereAndEscapesIt)
{
    EXPECT_NE(
        std::string::npos, operators::statusPage(nlohmann::json::object()).content().find("No document is in force"));
    const auto status = nlohmann::json::parse(support::readText(TEST_DATA "/console/status.json"));
    const auto content = operators::statusPage(status).content();
    for (const auto* const text : { "north / north-a: 1 node", "leaving", "the VM list says", "budget_exhausted",
             "&lt;b&gt;workshop", "<svg", "Model turns, workshop, order", "3 samples; half within 1.6 ms" })
        EXPECT_NE(std::string::npos, content.find(text)) << text;
    EXPECT_EQ(std::string::npos, content.find("<b>workshop"));
}

// Guards against quantiles computed from the wrong histogram bucket.
TEST(Charts, QuantileIsTheBoundOfItsBucket)
{
    const std::vector<operators::HistogramBar> bars { { 1, 5 }, { 2, 4 }, { 4, 1 } };
    EXPECT_EQ(1, operators::quantileUpperBound(bars, 0.5));
    EXPECT_EQ(2, operators::quantileUpperBound(bars, 0.9));
    EXPECT_EQ(4, operators::quantileUpperBound(bars, 0.95));
    EXPECT_EQ(0, operators::quantileUpperBound({}, 0.5));
}

} // namespace lagoontiller::tests
