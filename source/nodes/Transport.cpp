#include "nodes/Transport.h"

#include "nodes/impl/TransportImplementation.h"

namespace lagoontiller::nodes {

namespace {

constexpr std::size_t z85KeyLength = 40;

bool isKeyPair(const std::string& publicKey, const std::string& secretKey)
{
    if (publicKey.size() != z85KeyLength || secretKey.size() != z85KeyLength)
        return false;
    char derived[z85KeyLength + 1];
    return zmq_curve_public(derived, secretKey.c_str()) == 0 && publicKey == derived;
}

} // namespace

Transport::Transport(std::unique_ptr<Implementation> implementation, std::string boundAddress)
    : implementation(std::move(implementation))
    , boundAddress(std::move(boundAddress))
{
}

Transport::~Transport() = default;

core::Expected<std::unique_ptr<Transport>> Transport::start(TransportSettings settings, MessageHandler messageHandler)
{
    if (!isKeyPair(settings.publicKey, settings.secretKey))
        return core::failure(
            core::ResultCode::SettingsFault, "the deployment's public and secret key are not a CURVE key pair in Z85");
    const std::string address = settings.address;
    try {
        auto implementation = std::make_unique<Implementation>(std::move(settings), std::move(messageHandler));
        auto bound = implementation->start();
        return std::unique_ptr<Transport>(new Transport(std::move(implementation), std::move(bound)));
    } catch (const zmq::error_t& error) {
        return core::failure(
            core::ResultCode::SettingsFault, "cannot bind the node address " + address + ": " + error.what());
    }
}

bool Transport::send(SendMessage message)
{
    return this->implementation->enqueue(std::move(message));
}

void Transport::reconnect(const std::string& address)
{
    this->implementation->enqueueReconnect(address);
}

const TransportCounts& Transport::counts() const noexcept
{
    return this->implementation->counts;
}

std::pair<std::string, std::string> generateCurveKeyPair()
{
    char publicKey[z85KeyLength + 1];
    char secretKey[z85KeyLength + 1];
    if (zmq_curve_keypair(publicKey, secretKey) != 0)
        return {};
    return { publicKey, secretKey };
}

} // namespace lagoontiller::nodes
