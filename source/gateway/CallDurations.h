#pragma once

#include "core/Time.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace lagoontiller::gateway {

/// \brief The longest recent call of each route, as an estimate of the time that further calls need.
class CallDurations {
public:
    /// \brief Records a call that an endpoint has answered.
    void record(const std::string& route, core::Duration took, core::TimePoint now);
    /// \brief The longest call that ended within the last 30 to 40 s; empty if there was none.
    [[nodiscard]] std::optional<core::Duration> longest(const std::string& route, core::TimePoint now) const;

private:
    /// \brief The longest call that ended in one of the consecutive periods.
    struct Period {
        std::int64_t number = -1;
        core::Duration longest {};
    };
    static constexpr std::size_t periodCount = 4;
    static constexpr core::Duration periodLength = std::chrono::seconds(10);

    [[nodiscard]] static std::int64_t periodAt(core::TimePoint now) noexcept
    {
        return now.time_since_epoch() / periodLength;
    }

    std::map<std::string, std::array<Period, periodCount>> periodsByRoute;
};

} // namespace lagoontiller::gateway
