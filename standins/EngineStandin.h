#pragma once

#include "bench/fakes/EngineModel.h"
#include "standins/KvExports.h"
#include "standins/Standin.h"

#include <map>

namespace lagoontiller::standins {

/// \brief Inference engine: serves EngineModel over HTTP in real time.
class EngineStandin final : public Standin {
public:
    EngineStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay,
        fakes::EngineSettings settings, std::uint64_t kvBytesPerSecond, KvExports& exports);

protected:
    void serve(const ExchangePointer& exchange) override;
    void addCounters(nlohmann::json& counters) const override;
    void onOutage() override;
    void faultsChanged() override;

private:
    struct Answer {
        ExchangePointer exchange;
        std::string model;
        std::string text;
        bool stream = false;
        bool started = false;
    };

    void complete(const ExchangePointer& exchange);
    void cancel(HttpExchange& exchange);
    void release(HttpExchange& exchange);
    void answerLoad(HttpExchange& exchange) const;
    void answerEvents(HttpExchange& exchange) const;
    void exportKv(HttpExchange& exchange);
    void importKv(const ExchangePointer& exchange);
    void order(HttpExchange& exchange);

    void processEvents();
    void deliver(const fakes::EngineEvent& event);
    void sendToken(const std::string& requestId, Answer& answer, const std::string& text);
    void finishAnswer(const std::string& requestId, Answer& answer, const fakes::EngineEvent& event);

    std::string address;
    fakes::EngineModel model;
    std::uint64_t kvBytesPerSecond;
    KvExports& exports;
    std::map<std::string, Answer> answers;
    fakes::EngineCounters countersBeforeOutage;
    std::uint64_t generatedIds = 0;
    std::uint64_t kvImportedBytes = 0;
    std::optional<core::TimePoint> scheduled;
};

} // namespace lagoontiller::standins
