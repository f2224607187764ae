#include <cxxopts.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("lagoontiller", "Scheduler for agent programs");
    options.add_options()("h,help", "Show this help")("version", "Show the version");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version") > 0)
        std::cout << "lagoontiller " << LAGOONTILLER_VERSION << '\n';
    else
        std::cout << options.help();
    return 0;
}
