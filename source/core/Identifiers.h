#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace lagoontiller::core {

/// \brief Index of a partition of the programs; less than the `partitions` setting.
using PartitionId = std::uint32_t;

/// \brief Ownership generation of a partition; each takeover increases it.
using Epoch = std::uint64_t;

/// \brief Identifies a program: ids are unique per customer only, so the customer is part of the key.
class ProgramKey {
public:
    ProgramKey() = default;
    ProgramKey(std::string customer, std::string program)
        : customer(std::move(customer))
        , program(std::move(program))
    {
    }

    // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
    [[nodiscard]] auto operator<=>(const ProgramKey&) const = default; // NOLINT(modernize-use-nullptr)

    std::string customer;
    std::string program;
};

} // namespace lagoontiller::core
