#pragma once

#include "bench/fakes/EntryModel.h"
#include "standins/Standin.h"

namespace lagoontiller::standins {

/// \brief Serves EntryModel on one address, so that the replay and the load generator run without a real server.
class EntryStandin final : public Standin {
public:
    EntryStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay,
        std::shared_ptr<fakes::EntryModel> model, std::vector<std::string> entries);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;

private:
    void complete(HttpExchange& exchange);
    void answerEntries(HttpExchange& exchange) const;
    void answerLedger(HttpExchange& exchange) const;
    [[nodiscard]] fakes::EntryReply route(const HttpRequest& request);

    std::shared_ptr<fakes::EntryModel> model;
    std::vector<std::string> entries;
};

} // namespace lagoontiller::standins
