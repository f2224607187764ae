#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

/// \brief Versioned VM list; each change becomes visible after a lag.
class VmListModel {
public:
    explicit VmListModel(core::Duration lag)
        : lag(lag)
    {
    }

    /// \brief Replaces the list.
    void set(nlohmann::json vms, core::TimePoint now);
    /// \brief Sets the state of one VM (`live` or `leaving`) or removes it (`gone`); returns false if the VM is not
    /// listed.
    [[nodiscard]] bool setState(const std::string& name, const std::string& state, core::TimePoint now);
    /// \brief The list `{"version":n,"vms":[…]}` that is visible at `now`.
    [[nodiscard]] nlohmann::json list(core::TimePoint now);
    /// \brief Sets the lag of later changes.
    void setLag(core::Duration value) noexcept { this->lag = value; }

private:
    struct Version {
        core::TimePoint visibleFrom;
        std::uint64_t number = 0;
        nlohmann::json vms = nlohmann::json::array();
    };

    core::Duration lag;
    std::deque<Version> versions { Version {} };
};

} // namespace lagoontiller::fakes
