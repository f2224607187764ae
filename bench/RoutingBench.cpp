#include "policy/Router.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace lagoontiller;

constexpr int programs = 2'000;
constexpr int decisions = 200'000;
constexpr int rounds = 7;

policy::EndpointSpec endpoint(int index)
{
    const std::string zone = "zone" + std::to_string(index % 5);
    const std::string region = index % 5 < 3 ? "east" : "west";
    return { "worker" + std::to_string(index), "models", { "large" }, zone, region, policy::EndpointState::Live };
}

/// \brief Nanoseconds per decision; each decision is followed by the events of the call that it starts.
double measure(int fleet, bool withEvents)
{
    policy::RouterOptions options;
    options.routingNodes = 12;
    policy::Router router(options);
    policy::Random random(7);
    core::TimePoint now { std::chrono::seconds(10) };
    for (int i = 0; i < fleet; ++i) {
        const auto id = router.upsert(endpoint(i));
        router.report(id, { static_cast<std::uint32_t>(i % 7), 0, 0, 1, now });
    }
    policy::RouteRequest request;
    request.service = "models";
    request.model = "large";
    request.zone = "zone1";
    request.region = "east";
    request.promptTokens = 4'000;
    double best = 1e300;
    double checksum = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto roundStart = std::chrono::steady_clock::now();
        for (int i = 0; i < decisions; ++i) {
            now += std::chrono::microseconds(100);
            request.prefix = 1 + random() % programs;
            const auto decision = router.choose(request, now, random);
            checksum += decision->cost;
            if (withEvents || i % 100 == 0) {
                const policy::CallId call = static_cast<policy::CallId>(i);
                router.sent(call, { decision->endpoint, request.prefix, 4'000, 200, decision->cachedTokens }, now);
                router.firstToken(call, now);
                router.finished(call, { 4'000, 200, 3'000 }, now + std::chrono::seconds(5));
            }
        }
        const std::chrono::nanoseconds spent = std::chrono::steady_clock::now() - roundStart;
        best = std::min(best, static_cast<double>(spent.count()) / decisions);
    }
    std::printf("fleet=%d events=%d ns_per_decision=%.0f checksum=%.3g\n", fleet, withEvents ? 1 : 0, best, checksum);
    return best;
}

} // namespace

int main()
{
    for (const bool withEvents : { false, true }) {
        const double small = measure(10, withEvents);
        const double large = measure(2'300, withEvents);
        std::printf("events=%d ratio_2300_to_10=%.2f\n", withEvents ? 1 : 0, large / small);
    }
}
