#include "settings/Settings.h"
#include "support/EditedText.h"

namespace lagoontiller::settings {

namespace {

class SettingsFaults : public testing::TestWithParam<support::FaultCase> { };

} // namespace

// Guards against an undetected settings fault, with which a process would start with the values or keys of another
// deployment.
TEST_P(SettingsFaults, AreReportedExactly)
{
    std::vector<std::string> lines;
    for (const auto& fault : parse(GetParam().text).faults)
        lines.push_back(format(fault, "document"));
    EXPECT_EQ(GetParam().expected, lines);
}

INSTANTIATE_TEST_SUITE_P(Table, SettingsFaults,
    testing::ValuesIn(support::readFaultCases(REPOSITORY "/examples/settings.ini", TEST_DATA "/settings/faults.txt")));

// Guards against values that are stored in the wrong member, and against changed defaults.
TEST(Settings, OfExampleAreAsWritten)
{
    auto text = support::readText(REPOSITORY "/examples/settings.ini");
    for (const std::string line : { "partitions = 256\n", "commit_streams = 12\n", "traffic_threads = 2\n",
             "store_writes_per_second = 200\n", "log_level = info\n" })
        text.erase(text.find(line), line.size());
    const auto settings = parse(text).settings;
    ASSERT_NE(nullptr, settings);
    EXPECT_EQ("entry-ernakulam-a-1", settings->nodeName);
    EXPECT_EQ("ernakulam-a", settings->zone);
    EXPECT_EQ("ernakulam", settings->region);
    EXPECT_EQ("127.0.0.1:8101", settings->callerAddress.text());
    EXPECT_EQ("127.0.0.1:8301", settings->operatorAddress.text());
    EXPECT_EQ("127.0.0.1:8401", settings->nodeAddress.text());
    EXPECT_EQ("127.0.0.1:9001", settings->tableAddress.text());
    EXPECT_EQ("127.0.0.1:9002", settings->objectAddress.text());
    EXPECT_EQ("127.0.0.1:9003", settings->vmListAddress.text());
    EXPECT_EQ("127.0.0.1:9004", settings->weightStoreAddress.text());
    ASSERT_EQ(3, settings->seeds.size());
    EXPECT_EQ(8405, settings->seeds[1].port);
    EXPECT_EQ(256, settings->partitions);
    EXPECT_EQ(12, settings->commitStreams);
    EXPECT_EQ(2, settings->trafficThreads);
    EXPECT_EQ(200, settings->storeWritesPerSecond);
    EXPECT_EQ(core::LogLevel::Info, settings->logLevel);
    EXPECT_TRUE(document::matchesKey(settings->operatorKey, "operator.example-key-51d0e9"));
    EXPECT_EQ(*settings, *parse(support::readText(REPOSITORY "/examples/settings.ini")).settings);
}

} // namespace lagoontiller::settings
