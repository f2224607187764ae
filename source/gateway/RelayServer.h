#pragma once

#include "gateway/PeerClient.h"
#include "gateway/StoreHealth.h"

namespace lagoontiller::gateway {

/// \brief Does store calls for peers that have lost their contact to the store.
class RelayServer {
public:
    using ResponseHandler = std::function<void(const wire::PeerResponse&)>;

    /// \brief `store` is the direct way: a relayed call is never relayed again.
    RelayServer(RowStore& store, const StoreHealth& storeHealth)
        : store(store)
        , storeHealth(storeHealth)
    {
    }

    /// \brief Answers a relayed transaction or read; at once when this node has no contact either.
    void serve(const wire::PeerRequest& request, ResponseHandler respond);

private:
    RowStore& store;
    const StoreHealth& storeHealth;
};

} // namespace lagoontiller::gateway
