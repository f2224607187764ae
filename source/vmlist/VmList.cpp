#include "vmlist/VmList.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::vmlist {

namespace {

using nlohmann::json;

Vm vmFrom(const json& each)
{
    Vm vm;
    vm.name = each.at("name");
    vm.address = each.at("address");
    vm.isEndpoint = each.value("role", "endpoint") == "endpoint";
    vm.service = each.value("service", "");
    vm.region = each.value("region", "");
    vm.zone = each.value("zone", "");
    vm.state = each.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
    return vm;
}

} // namespace

core::Expected<VmList> parseVmList(const std::string& text)
{
    try {
        const auto body = json::parse(text);
        VmList list;
        list.version = body.at("version");
        for (const auto& each : body.at("vms"))
            list.vms.push_back(vmFrom(each));
        return list;
    } catch (const json::exception& error) {
        return core::failure(core::ResultCode::VmListUnavailable, error.what());
    }
}

VmListClient::VmListClient(http::Client& client, std::string address)
    : client(client)
    , address(std::move(address))
{
}

void VmListClient::fetch(Handler handler) const
{
    http::Request request;
    request.url = "http://" + this->address + "/v1/vms";
    request.firstByteTimeout = std::chrono::seconds(2);
    request.silenceTimeout = std::chrono::seconds(2);
    this->client.fetch(std::move(request), [handler = std::move(handler)](const auto& answer) {
        if (!answer)
            handler(core::failure(core::ResultCode::VmListUnavailable, answer.error().message));
        else if (answer->status != 200)
            handler(core::failure(
                core::ResultCode::VmListUnavailable, "VM list answered " + std::to_string(answer->status)));
        else
            handler(answer->body);
    });
}

} // namespace lagoontiller::vmlist
