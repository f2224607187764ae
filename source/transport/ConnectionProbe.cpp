#include "transport/ConnectionProbe.h"

#include "document/Address.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace lagoontiller::transport {

namespace {

class Probe : public std::enable_shared_from_this<Probe> {
public:
    Probe(asio::io_context& context, const ProbeLimits& limits, std::function<void(ProbeResult)> done)
        : context(context)
        , socket(context)
        , timer(context)
        , limits(limits)
        , done(std::move(done))
    {
    }

    void start(const asio::ip::tcp::endpoint& endpoint)
    {
        this->endAfter(this->limits.connectTimeout, ProbeResult::Unanswered);
        this->socket.async_connect(endpoint, [self = this->shared_from_this()](asio::error_code error) {
            if (!self->done)
                return;
            if (error) {
                const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
                self->end(refused ? ProbeResult::Refused : ProbeResult::Unanswered);
                return;
            }
            self->watch();
        });
    }

    void end(ProbeResult result)
    {
        if (!this->done)
            return;
        this->timer.cancel();
        asio::error_code ignored; // The connection is discarded, so errors have no consequence.
        this->socket.close(ignored);
        std::exchange(this->done, nullptr)(result);
    }

private:
    void watch()
    {
        this->endAfter(this->limits.openTime, ProbeResult::Accepted);
        this->socket.async_read_some(
            asio::buffer(this->buffer), [self = this->shared_from_this()](asio::error_code error, std::size_t) {
                self->end(error ? ProbeResult::Refused : ProbeResult::Accepted);
            });
    }

    void endAfter(core::Duration time, ProbeResult result)
    {
        this->timer.expires_after(time);
        this->timer.async_wait([self = this->shared_from_this(), result](asio::error_code error) {
            if (error)
                return;
            // If this process was paused, what happened meanwhile is read before the time-out counts.
            asio::post(self->context, [self, result, generation = self->generation] {
                if (generation == self->generation)
                    self->end(result);
            });
        });
        ++this->generation;
    }

    asio::io_context& context;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    ProbeLimits limits;
    std::function<void(ProbeResult)> done;
    /// \brief Number of the time-out in force.
    int generation = 0;
    std::array<char, 1> buffer {};
};

} // namespace

void probeAddress(asio::io_context& context, const std::string& address, const ProbeLimits& limits,
    std::function<void(ProbeResult)> done)
{
    const auto probe = std::make_shared<Probe>(context, limits, std::move(done));
    const auto parsed = document::parseAddress(address);
    asio::error_code error;
    const auto ip = parsed ? asio::ip::make_address(parsed->ip, error) : asio::ip::address();
    if (!parsed || error) {
        asio::post(context, [probe] { probe->end(ProbeResult::Unanswered); });
        return;
    }
    probe->start({ ip, parsed->port });
}

} // namespace lagoontiller::transport
