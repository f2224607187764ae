#pragma once

#include "gateway/PeerClient.h"
#include "gateway/StopSchedule.h"
#include "gateway/StoreHealth.h"

namespace lagoontiller::gateway {

/// \brief Executes store calls for peers that cannot reach the store.
class RelayServer {
public:
    using ResponseHandler = std::function<void(const wire::PeerResponse&)>;

    /// \brief `store` must access the store directly, so that a relayed call is never relayed again.
    RelayServer(RowStore& store, const StoreHealth& storeHealth)
        : store(store)
        , storeHealth(storeHealth)
    {
    }

    /// \brief Executes a relayed transaction or read and passes on its result. Responds NOT_DONE immediately while this
    /// node cannot reach the store either, and if the call may not end before this node does.
    void serve(const wire::PeerRequest& request, core::TimePoint now, ResponseHandler respond);
    /// \brief Only calls that the schedule admits are executed from now on.
    void startDraining(const StopSchedule& schedule) { this->stopSchedule = schedule; }

private:
    RowStore& store;
    const StoreHealth& storeHealth;
    std::optional<StopSchedule> stopSchedule;
};

} // namespace lagoontiller::gateway
