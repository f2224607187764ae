#include "../support/DocumentProperty.h"

#include <cstdint>
#include <cstdlib>

// Finds bytes for which the check crashes, never ends, or accepts a document that does not survive printing.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (!lagoontiller::support::holdsForBytes({ reinterpret_cast<const char*>(data), size }))
        std::abort();
    return 0;
}
