#pragma once

#include "callers/HttpServer.h"
#include "control/AnswerStream.h"
#include "control/Controller.h"
#include "control/DocumentRepository.h"
#include "control/PeerNetwork.h"
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

/// \brief Runs one node: delivers events to the controller and performs its effects.
///
/// The controller runs on the thread that calls run(), the control thread. The threads of the HTTP server, the HTTP
/// client and the transport post events to it; streamed text does not pass through it.
class Runtime {
public:
    explicit Runtime(std::shared_ptr<const settings::Settings> settings);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    /// \brief Listens and serves until SIGTERM or SIGINT and the drain that follows. Error: SettingsFault if an address
    /// is in use.
    [[nodiscard]] core::Expected<void> run();

private:
    /// \brief Queues an event for the control thread. Callable from any thread.
    void post(Event event);
    /// \brief Passes the event to the controller and performs the effects. Control thread only.
    void handleEvent(const Event& event);
    /// \brief Removes the transfer or open call that the event ends.
    void forgetEnded(const Event& event);
    void onRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response);
    /// \brief Registers a request of a caller, or one that another node forwarded, as a new call.
    void acceptRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response, bool forwarded);
    void onDocument(const DocumentInForce& document);
    void onVmList(const std::string& text);
    [[nodiscard]] PeerNetwork::Handlers peerHandlers();
    [[nodiscard]] nlohmann::json status() const;
    void scheduleTick();
    void scheduleVmListPoll();
    void pollVmList();
    /// \brief Copies the transport counters to the metrics. Runs once a second, to keep the metric registry off the
    /// transport threads.
    void publishTransportMetrics();
    void watchSignals();
    void stop();

    void perform(SendAnswer effect);
    void perform(const OpenAnswer& effect);
    void perform(JoinAnswer effect);
    void perform(const FinishAnswer& effect);
    void perform(const CloseAnswer& effect);
    void perform(const RefuseAnswer& effect);
    void perform(const StartGeneration& effect);
    void perform(const CancelGeneration& effect);
    void perform(const CallService& effect);
    void perform(const ReleaseCache& effect);
    void perform(const PollLoad& effect);
    void perform(const ForwardCall& effect);
    void perform(SendToNode effect);
    void perform(BroadcastPoisonNotice effect);
    void perform(StoreOperation effect);
    void perform(DrainFinished effect);

    void store(StoreClient storeClient, const state::WriteTransaction& operation);
    void store(StoreClient storeClient, const state::WriteObject& operation);
    void store(StoreClient storeClient, const state::ReadRow& operation);
    void store(StoreClient storeClient, const state::ScanRows& operation);
    void store(StoreClient storeClient, const state::ReadObject& operation);
    void store(StoreClient storeClient, const state::DeleteObject& operation);

    struct OpenCall {
        callers::ResponseStreamPointer response;
        std::shared_ptr<AnswerStream> answer;
    };

    std::shared_ptr<const settings::Settings> settings;
    asio::io_context ioContext;
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
    std::unique_ptr<DocumentRepository> documentRepository;
    std::unique_ptr<PeerNetwork> peerNetwork;
    std::unique_ptr<operators::OperatorApi> operatorApi;
    std::unique_ptr<operators::Console> console;
    std::unique_ptr<callers::HttpServer> callerServer;
    std::unique_ptr<callers::HttpServer> operatorServer;
    std::unordered_map<CallId, OpenCall> openCalls;
    /// \brief HTTP requests of running generations.
    std::unordered_map<AttemptId, http::RequestId> generationRequests;
    /// \brief Attempts that wait for the transfer of a KV cache and have not been sent.
    std::set<AttemptId> cacheTransfers;
    CallId lastCall = 0;
    std::uint64_t vmListVersion = 0;
};

} // namespace lagoontiller::control
