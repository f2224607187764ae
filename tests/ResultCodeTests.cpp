#include "core/ResultCode.h"

#include <fstream>
#include <regex>
#include <sstream>

namespace lagoontiller::core {

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against a code that is added or renamed without its row in the documentation, and against stale rows.
TEST(ResultCodes, TableInDocumentationMatchesCode)
{
    const auto text = readFile(REPOSITORY "/docs/result-codes.md");
    std::map<int, std::string> documented;
    const std::regex row(R"(\| (\d+) \| `([a-z0-9_]+)` \| (\d+) \|)");
    for (std::sregex_iterator match(text.begin(), text.end(), row), end; match != end; ++match)
        documented[std::stoi((*match)[1])] = (*match)[2].str() + " " + (*match)[3].str();
    std::map<int, std::string> implemented;
    for (const auto code : allResultCodes())
        implemented[static_cast<int>(code)] = std::string(name(code)) + " " + std::to_string(httpStatus(code));
    EXPECT_EQ(documented, implemented);
}

} // namespace lagoontiller::core
