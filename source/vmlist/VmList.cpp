#include "vmlist/VmList.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::vmlist {

namespace {

using nlohmann::json;

Vm parseVm(const json& entry)
{
    Vm vm;
    vm.name = entry.at("name");
    vm.address = entry.at("address");
    vm.isEndpoint = entry.value("role", "endpoint") == "endpoint";
    vm.service = entry.value("service", "");
    vm.region = entry.value("region", "");
    vm.zone = entry.value("zone", "");
    vm.state = entry.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
    return vm;
}

} // namespace

core::Expected<VmList> parseVmList(const std::string& text)
{
    try {
        const auto body = json::parse(text);
        VmList list;
        list.version = body.at("version");
        for (const auto& entry : body.at("vms"))
            list.vms.push_back(parseVm(entry));
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
    this->client.fetch(std::move(request), [handler = std::move(handler)](const auto& response) {
        if (!response)
            handler(core::failure(core::ResultCode::VmListUnavailable, response.error().message));
        else if (response->status != 200)
            handler(core::failure(core::ResultCode::VmListUnavailable,
                "VM list service returned status " + std::to_string(response->status)));
        else
            handler(response->body);
    });
}

} // namespace lagoontiller::vmlist
