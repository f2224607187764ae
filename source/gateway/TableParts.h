#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::gateway {

/// \brief Number of parts over which the rows of budgets, turns and stream versions are distributed.
///
/// All nodes use the same number, which TableLayout determines after the start of the process; it never changes
/// afterwards. The store executes 300 transactions per second and part.
class TableParts {
public:
    static constexpr std::uint64_t minCount = 16;
    static constexpr std::uint64_t maxCount = 1'024;
    /// \brief The number that versions without a layout row use.
    static constexpr std::uint64_t legacyCount = 16;

    TableParts() = default;
    explicit TableParts(std::uint64_t count)
        : number(count)
    {
    }

    [[nodiscard]] bool known() const noexcept { return this->number.has_value(); }
    void set(std::uint64_t count) noexcept { this->number = count; }
    /// \brief Throws std::logic_error while the number is not known: a row in a part of another number is lost to the
    /// other nodes.
    [[nodiscard]] std::uint64_t count() const;
    /// \brief Part of the row with this id; throws as `count` does.
    [[nodiscard]] std::string partOf(std::string_view id) const;

private:
    std::optional<std::uint64_t> number;
};

} // namespace lagoontiller::gateway
