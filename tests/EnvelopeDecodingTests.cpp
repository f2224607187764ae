#include "nodes/Random.h"
#include "support/EnvelopeInput.h"

namespace lagoontiller::nodes::support {

namespace {

void run(const std::string& input)
{
    runEnvelopeInput({ reinterpret_cast<const std::uint8_t*>(input.data()), input.size() });
}

/// Copies parts of two inputs and changes some bytes, as a fuzzer does.
std::string mutate(RandomGenerator& generator, const std::vector<std::string>& corpus)
{
    std::string result = corpus[randomIndex(generator, corpus.size())];
    const auto& other = corpus[randomIndex(generator, corpus.size())];
    if (!other.empty())
        result += other.substr(randomIndex(generator, other.size()));
    const auto changes = randomIndex(generator, 8);
    for (std::size_t change = 0; change < changes && !result.empty(); ++change)
        result[randomIndex(generator, result.size())] = static_cast<char>(generator());
    return result;
}

} // namespace

// Guards against frames from a faulty peer that crash the process or break an invariant of its state. The invariants
// are in support/EnvelopeInput.cpp, which aborts the test program.
TEST(EnvelopeDecoding, CorpusKeepsAllInvariants)
{
    for (const auto& input : makeEnvelopeCorpus())
        run(input);
}

TEST(EnvelopeDecoding, MutatedInputsKeepAllInvariants)
{
    constexpr int runs = 20'000;
    RandomGenerator generator(20261204);
    const auto corpus = makeEnvelopeCorpus();
    for (int count = 0; count < runs; ++count)
        run(mutate(generator, corpus));
}

} // namespace lagoontiller::nodes::support
