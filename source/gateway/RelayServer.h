#pragma once

#include "gateway/PeerLink.h"
#include "gateway/StoreContact.h"

namespace lagoontiller::gateway {

/// \brief Does store calls for peers that have lost their contact to the store.
class RelayServer {
public:
    using Respond = std::function<void(const wire::PeerResponse&)>;

    /// \brief `store` is the direct way: a relayed call is never relayed again.
    RelayServer(RowStore& store, const StoreContact& contact)
        : store(store)
        , contact(contact)
    {
    }

    /// \brief Answers a relayed transaction or read; at once when this node has no contact either.
    void serve(const wire::PeerRequest& request, Respond respond);

private:
    RowStore& store;
    const StoreContact& contact;
};

} // namespace lagoontiller::gateway
