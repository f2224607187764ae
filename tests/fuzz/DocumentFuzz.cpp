#include "../support/DocumentProperty.h"

#include <cstdint>
#include <cstdlib>

// Finds inputs for which the check crashes, does not terminate, or accepts a document that changes when it is printed
// and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (!lagoontiller::support::holdsForBytes({ reinterpret_cast<const char*>(data), size }))
        std::abort();
    return 0;
}
