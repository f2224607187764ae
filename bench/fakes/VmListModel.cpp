#include "bench/fakes/VmListModel.h"

#include <algorithm>

namespace lagoontiller::fakes {

void VmListModel::set(nlohmann::json vms, core::TimePoint now)
{
    // Changes become visible in order, even if the lag was shortened between them.
    const auto visibleFrom = std::max(now + this->lag, this->versions.back().visibleFrom);
    this->versions.push_back({ visibleFrom, this->versions.back().number + 1, std::move(vms) });
}

bool VmListModel::setState(const std::string& name, const std::string& state, core::TimePoint now)
{
    auto vms = this->versions.back().vms;
    const auto found
        = std::find_if(vms.begin(), vms.end(), [&name](const auto& vm) { return vm.value("name", "") == name; });
    if (found == vms.end())
        return false;
    if (state == "gone")
        vms.erase(found);
    else
        (*found)["state"] = state;
    this->set(std::move(vms), now);
    return true;
}

nlohmann::json VmListModel::list(core::TimePoint now)
{
    while (this->versions.size() > 1 && this->versions[1].visibleFrom <= now)
        this->versions.pop_front();
    const auto& visible = this->versions.front();
    return { { "version", visible.number }, { "vms", visible.vms } };
}

} // namespace lagoontiller::fakes
