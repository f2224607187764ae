#pragma once

#include "bench/fakes/FaultPlan.h"
#include "standins/HttpServer.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::standins {

/// \brief Answers `{"error":{"code":…,"name":…,"message":…}}` with the HTTP status of the code.
void refuse(HttpExchange& exchange, const core::Error& error);

/// \brief A stand-in on one address: applies the faults, counts requests and answers `/control`.
class Standin {
public:
    /// \brief `delay` is added to every request that is served.
    Standin(Loop& loop, std::string kind, std::string name, const std::string& address, core::Duration delay);
    virtual ~Standin() = default;
    Standin(const Standin&) = delete;
    Standin& operator=(const Standin&) = delete;

    /// \brief Starts to listen. Throws when the address cannot be bound.
    void start();
    /// \brief Applies a control request; runs on the loop of the stand-in.
    [[nodiscard]] core::Expected<nlohmann::json> control(const nlohmann::json& body);
    /// \brief State and counters; runs on the loop of the stand-in.
    [[nodiscard]] nlohmann::json counters();

    [[nodiscard]] const std::string& name() const noexcept { return this->ownName; }
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }
    [[nodiscard]] Loop& loop() noexcept { return this->ownLoop; }

protected:
    /// \brief Answers a request. May throw nlohmann::json::exception for a malformed body, which is answered with 400.
    virtual void serve(const ExchangePointer& exchange) = 0;
    /// \brief Applies a control request of this kind of stand-in; MissingField when it has none.
    [[nodiscard]] virtual core::Expected<nlohmann::json> applyControl(const nlohmann::json& body);
    virtual void addCounters(nlohmann::json& counters) const = 0;
    /// \brief Called when the stand-in goes down, after its connections have been reset.
    virtual void onOutage() { }
    /// \brief Called when a fault has been set, cleared or has expired.
    virtual void faultsChanged() { }
    [[nodiscard]] const fakes::FaultPlan& faults() const noexcept { return this->plan; }

private:
    void handle(const ExchangePointer& exchange);
    void handleControl(HttpExchange& exchange);
    void serveOrRefuse(const ExchangePointer& exchange);
    void setFault(const fakes::Fault& fault);
    void startOutage(core::Duration duration);
    void endOutage();

    Loop& ownLoop;
    std::string kind;
    std::string ownName;
    core::Duration delay;
    HttpServer server;
    fakes::FaultPlan plan;
    std::vector<ExchangePointer> hungExchanges;
    std::uint64_t requests = 0;
    std::uint64_t outages = 0;
};

} // namespace lagoontiller::standins
