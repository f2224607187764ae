#include "document/Check.h"
#include "document/IniText.h"
#include "support/EditedText.h"

namespace lagoontiller::document {

namespace {

std::vector<std::string> faultLines(const Faults& faults)
{
    std::vector<std::string> lines;
    for (const auto& fault : faults)
        lines.push_back(format(fault, "document"));
    return lines;
}

class DocumentFaults : public testing::TestWithParam<support::FaultCase> { };

} // namespace

// Guards against a fault that is missed, reported twice, or reported with another position or text.
TEST_P(DocumentFaults, AreReportedExactly)
{
    EXPECT_EQ(GetParam().expected, faultLines(check(GetParam().text)));
}

INSTANTIATE_TEST_SUITE_P(Table, DocumentFaults,
    testing::ValuesIn(support::readFaultCases(TEST_DATA "/documents/small.ini", TEST_DATA "/documents/faults.txt")));

// Guards against a base text with faults of its own, which would appear in every case.
TEST(DocumentFaults, AreAbsentFromBaseAndExamples)
{
    for (const auto* const path : { TEST_DATA "/documents/small.ini", REPOSITORY "/examples/nilavilakku.ini",
             REPOSITORY "/examples/minningarskjoldur.ini" })
        EXPECT_EQ(std::vector<std::string>(), faultLines(check(support::readText(path)))) << path;
}

// Guards against unbounded reading of huge lines, texts, section counts and fault lists.
TEST(DocumentFaults, BoundTextLinesAndFaults)
{
    const auto lineOf = [](std::size_t size) { return "[deployment]\nname = " + std::string(size, 'a'); };
    const auto longLine = lineOf(maxLineBytes);
    EXPECT_EQ("f:2:1: [deployment] the line has 4103 bytes; allowed: at most 4096 bytes",
        format(readIni(longLine).faults.at(0), "f"));
    const auto longestLine = lineOf(maxLineBytes - 7);
    EXPECT_EQ(maxLineBytes - 7, readIni(longestLine).sections.at(0).entries.at(0).value.size());
    EXPECT_EQ(1, readIni(std::string(maxTextBytes + 1, '\n')).faults.size());
    EXPECT_EQ(0, readIni(std::string(maxTextBytes, '\n')).faults.size());
    const auto longKey = std::string(maxKeyBytes + 1, 'k').append(" = 1");
    EXPECT_EQ("f:1:1: the key is too long; allowed: at most 48 bytes", format(readIni(longKey).faults.at(0), "f"));
    std::string manySections;
    for (std::size_t i = 0; i <= maxSections; ++i)
        manySections += "[class c" + std::to_string(i) + "]\n";
    const auto sections = readIni(manySections);
    EXPECT_EQ(
        "f:50001:1: [class c49999] too many sections; allowed: at most 50000", format(sections.faults.at(0), "f"));
    std::string manyFaults;
    for (std::size_t i = 0; i < 2 * maxFaults; ++i)
        manyFaults += "no key\n";
    EXPECT_EQ(maxFaults, readIni(manyFaults).faults.size());
}

} // namespace lagoontiller::document
