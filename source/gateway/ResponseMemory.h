#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Accounts for the response bytes that calls hold in memory. When the limit is exceeded, the call that holds
/// the most gives way, so that an endless response does not end the calls beside it.
class ResponseMemory {
public:
    explicit ResponseMemory(std::size_t maxBytes) noexcept
        : maxBytes(maxBytes)
    {
    }

    /// \brief Sets the number of bytes that the call holds.
    /// \return the call to end when all calls together hold more than the limit.
    [[nodiscard]] std::optional<std::uint64_t> hold(std::uint64_t call, std::size_t bytes);
    /// \brief Removes the call; ignores unknown calls.
    void release(std::uint64_t call);
    [[nodiscard]] std::size_t heldBytes() const noexcept { return this->total; }

private:
    std::size_t maxBytes;
    std::size_t total = 0;
    std::unordered_map<std::uint64_t, std::size_t> bytesByCall;
};

} // namespace lagoontiller::gateway
