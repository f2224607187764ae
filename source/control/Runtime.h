#pragma once

#include "callers/HttpServer.h"
#include "control/AnswerStream.h"
#include "control/Controller.h"
#include "control/DocumentKeeper.h"
#include "control/NodeLink.h"
#include "engines/EngineClient.h"
#include "http/Client.h"
#include "objects/ObjectClient.h"
#include "operators/Console.h"
#include "operators/OperatorApi.h"
#include "services/ServiceClient.h"
#include "settings/Settings.h"
#include "tables/TableClient.h"
#include "vmlist/VmList.h"

#include <asio.hpp>
#include <memory>
#include <set>
#include <unordered_map>

namespace lagoontiller::control {

/// \brief One node: carries out the controller's effects and feeds it events.
///
/// The controller runs on the thread that calls run(). Traffic threads (HTTP server, HTTP client, nodes) post events to
/// it; streamed text bypasses it.
class Runtime {
public:
    explicit Runtime(std::shared_ptr<const settings::Settings> settings);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    /// \brief Listens and serves until a graceful stop is complete. Error: SettingsFault when an address is taken.
    [[nodiscard]] core::Expected<void> run();

private:
    void post(Event event);
    void dispatch(const Event& event);
    /// \brief Drops what this object holds for an attempt or call that the event ends.
    void forgetEnded(const Event& event);
    void onRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response);
    void acceptRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response, bool forwarded);
    void onDocument(const DocumentInForce& document);
    void onVmList(const std::string& text);
    [[nodiscard]] NodeLink::Handlers nodeHandlers();
    [[nodiscard]] nlohmann::json status() const;
    void scheduleTick();
    void scheduleVmList();
    void pollVmList();
    /// Once a second, so that the counters cost nothing on the traffic path.
    void publishNodeTraffic();
    void watchSignals();
    void stop();

    void perform(AnswerWhole effect);
    void perform(const OpenAnswer& effect);
    void perform(JoinAnswer effect);
    void perform(const FinishAnswer& effect);
    void perform(const CloseAnswer& effect);
    void perform(const RefuseAnswer& effect);
    void perform(const Generate& effect);
    void perform(const CancelGeneration& effect);
    void perform(const CallService& effect);
    void perform(const ReleaseMemory& effect);
    void perform(const PollLoad& effect);
    void perform(const ForwardCall& effect);
    void perform(SendToNode effect);
    void perform(SpreadPoisonNotice effect);
    void perform(StoreOperation effect);
    void perform(Drained effect);

    void store(StoreUser user, const state::WriteTransaction& operation);
    void store(StoreUser user, const state::WriteObject& operation);
    void store(StoreUser user, const state::ReadRow& operation);
    void store(StoreUser user, const state::ScanRows& operation);
    void store(StoreUser user, const state::ReadObject& operation);
    void store(StoreUser user, const state::DeleteObject& operation);

    struct OpenCall {
        callers::ResponseStreamPointer response;
        std::shared_ptr<AnswerStream> answer;
    };

    std::shared_ptr<const settings::Settings> settings;
    asio::io_context context;
    asio::steady_timer tickTimer;
    asio::steady_timer vmListTimer;
    asio::signal_set signals;
    core::MetricRegistry metrics;
    http::Client client;
    tables::TableClient tables;
    objects::ObjectClient objects;
    engines::EngineClient engines;
    services::ServiceClient services;
    vmlist::VmListClient vmList;
    std::unique_ptr<Controller> controller;
    std::unique_ptr<DocumentKeeper> documents;
    std::unique_ptr<NodeLink> nodes;
    std::unique_ptr<operators::OperatorApi> operatorApi;
    std::unique_ptr<operators::Console> console;
    std::unique_ptr<callers::HttpServer> callerServer;
    std::unique_ptr<callers::HttpServer> operatorServer;
    std::unordered_map<CallId, OpenCall> open;
    std::unordered_map<AttemptId, http::RequestId> transfers;
    /// \brief Attempts whose cache is on its way; they have not been sent.
    std::set<AttemptId> moving;
    CallId lastCall = 0;
    std::uint64_t vmListVersion = 0;
};

} // namespace lagoontiller::control
