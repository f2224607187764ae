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

/// \brief A VM in the platform's list: an entry VM of the scheduler, or an endpoint VM with the service that it runs.
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

/// \brief One version of the VM list; the version increases with each change.
struct VmList {
    std::uint64_t version = 0;
    std::vector<Vm> vms;
    [[nodiscard]] bool operator==(const VmList&) const = default;
};

/// \brief Parses the JSON form of the list. Error: VmListUnavailable if the text is malformed.
[[nodiscard]] core::Expected<VmList> parseVmList(const std::string& text);

/// \brief Client for the platform's list of live and leaving VMs. Handlers run on the I/O thread of the HTTP client.
class VmListClient {
public:
    /// \brief Receives the JSON text unchanged, because nodes forward it to each other in this form. Error:
    /// VmListUnavailable.
    using Handler = std::function<void(core::Expected<std::string>)>;

    VmListClient(http::Client& client, std::string address);
    void fetch(Handler handler) const;

private:
    http::Client& client;
    std::string address;
};

} // namespace lagoontiller::vmlist
