#include "support/EnvelopeInput.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    lagoontiller::nodes::support::runEnvelopeInput({ data, size });
    return 0;
}
