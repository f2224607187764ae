#include "callers/CallerOperation.h"

#include <cstddef>
#include <cstdint>

// Parses a caller's request. The input holds method, target, program id and body, separated by zero bytes.
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    using namespace lagoontiller::callers;
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    const auto next = [&rest] {
        const auto end = rest.find('\0');
        const auto part = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 1);
        return std::string(part);
    };
    IncomingRequest request;
    request.method = next();
    request.target = next();
    request.headers = { { "X-Program-Id", next() } };
    request.body = std::string(rest);
    static_cast<void>(parseOperation(request, {}));
    return 0;
}
