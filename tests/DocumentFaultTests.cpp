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

// Guards against a fault that is missed, reported twice, or reported at another place or in other words.
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
    const auto longLine = lineOf(maximumLineBytes);
    EXPECT_EQ("f:2:1: [deployment] the line has 4103 bytes; allowed: at most 4096 bytes",
        format(readIni(longLine).faults.at(0), "f"));
    const auto longestLine = lineOf(maximumLineBytes - 7);
    EXPECT_EQ(maximumLineBytes - 7, readIni(longestLine).sections.at(0).entries.at(0).value.size());
    EXPECT_EQ(1, readIni(std::string(maximumTextBytes + 1, '\n')).faults.size());
    EXPECT_EQ(0, readIni(std::string(maximumTextBytes, '\n')).faults.size());
    const auto longKey = std::string(maximumKeyBytes + 1, 'k').append(" = 1");
    EXPECT_EQ("f:1:1: the key is too long; allowed: at most 48 bytes", format(readIni(longKey).faults.at(0), "f"));
    std::string manySections;
    for (std::size_t i = 0; i <= maximumSections; ++i)
        manySections += "[class c" + std::to_string(i) + "]\n";
    const auto sections = readIni(manySections);
    EXPECT_EQ(
        "f:50001:1: [class c49999] too many sections; allowed: at most 50000", format(sections.faults.at(0), "f"));
    std::string manyFaults;
    for (std::size_t i = 0; i < 2 * maximumFaults; ++i)
        manyFaults += "no key\n";
    EXPECT_EQ(maximumFaults, readIni(manyFaults).faults.size());
}

} // namespace lagoontiller::document
