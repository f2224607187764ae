#pragma once

#include "bench/fakes/ServiceModel.h"
#include "bench/fakes/VmListModel.h"
#include "bench/fakes/WeightModel.h"
#include "standins/Standin.h"

namespace lagoontiller::standins {

/// \brief Tool or plain service: executes every POST and lists the executions at `GET /ledger`.
///
/// The ledger survives the fault `down`, because the side effects of a call do.
class ServiceStandin final : public Standin {
public:
    ServiceStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    void answerLedger(HttpExchange& exchange) const;

    fakes::ServiceModel model;
};

/// \brief VM list. Control requests: `{"vms":[…]}`, `{"vm":NAME,"state":"live"|"leaving"|"gone"}`, `{"lag_ms":n}`.
class VmListStandin final : public Standin {
public:
    VmListStandin(
        Loop& loop, const std::string& name, const std::string& address, core::Duration delay, core::Duration lag);

protected:
    void serve(const ExchangePointer& exchange) override;
    [[nodiscard]] core::Expected<nlohmann::json> applyControl(const nlohmann::json& body) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    fakes::VmListModel model;
    std::uint64_t reads = 0;
};

/// \brief Weight store with a transfer rate.
class WeightStandin final : public Standin {
public:
    WeightStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay,
        std::uint64_t bytesPerSecond);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    fakes::WeightModel model;
    std::uint64_t leases = 0;
    std::uint64_t leasedBytes = 0;
};

} // namespace lagoontiller::standins
