#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lagoontiller::vmlist {

enum class VmState : int {
    Live,
    Leaving,
};

/// \brief A VM as the platform lists it: one of our entry VMs, or an endpoint VM with the service that it runs.
struct Vm {
    std::string name;
    std::string address;
    bool isEndpoint = false;
    std::string service;
    std::string region;
    std::string zone;
    VmState state = VmState::Live;
    [[nodiscard]] bool operator==(const Vm&) const = default;
};

/// \brief One answer of the VM list; versions rise with each change.
struct VmList {
    std::uint64_t version = 0;
    std::vector<Vm> vms;
    [[nodiscard]] bool operator==(const VmList&) const = default;
};

/// \brief Reads the JSON form of the list. Error: VmListUnavailable.
[[nodiscard]] core::Expected<VmList> parseVmList(const std::string& text);

/// \brief The platform's list of live and leaving VMs. Handlers run on the HTTP traffic thread.
class VmListClient {
public:
    /// \brief Gets the JSON text as received, because nodes pass it on to each other in this form.
    using Handler = std::function<void(core::Expected<std::string>)>;

    VmListClient(http::Client& client, std::string address);
    void fetch(Handler handler) const;

private:
    http::Client& client;
    std::string address;
};

} // namespace lagoontiller::vmlist
