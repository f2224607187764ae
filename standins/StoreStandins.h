#pragma once

#include "bench/fakes/TableModel.h"
#include "standins/Standin.h"

#include <map>

namespace lagoontiller::standins {

/// \brief Table service. Its rows survive the fault `down`.
class TableStandin final : public Standin {
public:
    TableStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    void transact(HttpExchange& exchange);
    void read(HttpExchange& exchange);
    void scan(HttpExchange& exchange);

    fakes::TableModel model;
};

/// \brief Object store. Its objects survive the fault `down`.
class ObjectStandin final : public Standin {
public:
    ObjectStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    std::map<std::string, std::string> objects;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

} // namespace lagoontiller::standins
