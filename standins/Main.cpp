#include "standins/Commands.h"

#include <exception>
#include <iostream>
#include <string_view>

namespace {

constexpr int usageStatus = 1;
constexpr int unavailableStatus = 4;

int dispatch(int argc, char** argv)
{
    using namespace lagoontiller::standins;
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "run")
        return runStandins(argc - 1, argv + 1);
    if (command == "replay")
        return replayTrace(argc - 1, argv + 1);
    if (command == "state")
        return writeExpectedTexts(argc - 1, argv + 1);
    if (command == "load")
        return generateLoad(argc - 1, argv + 1);
    std::cerr << "usage: lagoontiller-standins run|replay|load|state [--help]\n";
    return usageStatus;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return dispatch(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "lagoontiller-standins: " << error.what() << '\n';
        return unavailableStatus;
    }
}
