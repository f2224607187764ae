#include "gateway/RelayServer.h"

#include "gateway/impl/RelayMessages.h"

namespace lagoontiller::gateway {

void RelayServer::serve(const wire::PeerRequest& request, core::TimePoint now, ResponseHandler respond)
{
    const bool stopping = this->stopSchedule && !this->stopSchedule->admits(now + this->storeHealth.callTimeout());
    if (stopping || this->storeHealth.failing()) {
        wire::PeerResponse response;
        response.mutable_relayed()->set_outcome(wire::RelayedAnswer::NOT_DONE);
        response.mutable_relayed()->set_stopping(stopping);
        respond(response);
        return;
    }
    if (request.has_transaction()) {
        this->store.transact(impl::decodeTransaction(request.transaction()), this->storeHealth.callTimeout(),
            [respond = std::move(respond)](const StoreResult<TransactionResult>& result) {
                wire::PeerResponse response;
                *response.mutable_relayed() = impl::encodeAnswer(result);
                respond(response);
            });
        return;
    }
    this->store.read(impl::decodeRange(request.read()), this->storeHealth.callTimeout(),
        [respond = std::move(respond)](const StoreResult<RowPage>& result) {
            wire::PeerResponse response;
            *response.mutable_relayed() = impl::encodeAnswer(result);
            respond(response);
        });
}

} // namespace lagoontiller::gateway
