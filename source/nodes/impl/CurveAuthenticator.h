#pragma once

#include "nodes/Transport.h"

#include <string>
#include <zmq.hpp>

namespace lagoontiller::nodes {

/// \brief ZAP handler (RFC 27) that accepts only the deployment's public key. Runs on the transport thread.
class CurveAuthenticator {
public:
    /// Must be constructed before a CURVE server socket of the context is bound.
    CurveAuthenticator(zmq::context_t& context, std::string publicKey, TransportCounts& counts);

    [[nodiscard]] zmq::socket_t& socket() noexcept { return this->zapSocket; }
    /// \brief Answers all pending authentication requests.
    void answerRequests();

private:
    zmq::socket_t zapSocket;
    std::string publicKey;
    TransportCounts* counts;
};

} // namespace lagoontiller::nodes
