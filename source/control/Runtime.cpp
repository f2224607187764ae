#include "control/Runtime.h"

#include "control/NodeStatus.h"
#include "core/Encoding.h"
#include "core/Log.h"

#include <csignal>

namespace lagoontiller::control {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(10);
constexpr auto vmListPollInterval = std::chrono::seconds(1);
constexpr std::size_t runIdBytes = 6;

ControllerSettings controllerSettings(const settings::Settings& settings)
{
    ControllerSettings result;
    result.node = settings.nodeName;
    result.zone = settings.zone;
    result.region = settings.region;
    result.runId = settings.nodeName + "-" + core::randomHex(runIdBytes);
    result.partitionCount = settings.partitions;
    result.regions = settings.regions;
    result.commitInterval
        = std::chrono::microseconds(std::int64_t(1000000) * settings.commitStreams / settings.storeWritesPerSecond);
    result.seed = std::random_device {}();
    return result;
}

callers::HttpServerSettings callerServerSettings(const settings::Settings& settings)
{
    callers::HttpServerSettings result;
    result.address = settings.callerAddress.text();
    result.threads = static_cast<int>(settings.trafficThreads);
    return result;
}

callers::HttpServerSettings operatorServerSettings(const settings::Settings& settings)
{
    callers::HttpServerSettings result;
    result.address = settings.operatorAddress.text();
    result.threads = 1;
    result.maxConnections = 100;
    result.maxConnectionsPerAddress = 50;
    return result;
}

} // namespace

Runtime::Runtime(std::shared_ptr<const settings::Settings> processSettings)
    : settings(std::move(processSettings))
    , tickTimer(this->ioContext)
    , vmListTimer(this->ioContext)
    , signals(this->ioContext, SIGTERM, SIGINT)
    , tables(this->client, this->settings->tableAddress.text())
    , objects(this->client, this->settings->objectAddress.text())
    , engines(this->client)
    , services(this->client)
    , vmList(this->client, this->settings->vmListAddress.text())
    , controller(std::make_unique<Controller>(controllerSettings(*this->settings), this->metrics, core::monotonicNow()))
    , documentRepository(std::make_unique<DocumentRepository>(
          this->ioContext, this->tables, [this](const DocumentInForce& document) { this->onDocument(document); }))
    , peerNetwork(std::make_unique<PeerNetwork>(
          *this->settings, [this](std::function<void()> function) { asio::post(this->ioContext, std::move(function)); },
          this->peerHandlers(), core::monotonicNow()))
    , operatorApi(std::make_unique<operators::OperatorApi>(
          *this->documentRepository, this->settings->operatorKey, [this] { return this->status(); }))
    , console(std::make_unique<operators::Console>(
          *this->documentRepository, this->settings->operatorKey, [this] { return this->status(); },
          core::monotonicNow))
    , callerServer(std::make_unique<callers::HttpServer>(callerServerSettings(*this->settings),
          [this](callers::IncomingRequest request, callers::ResponseStreamPointer response) {
              this->onRequest(std::move(request), std::move(response));
          }))
    , operatorServer(std::make_unique<callers::HttpServer>(operatorServerSettings(*this->settings),
          [this](callers::IncomingRequest request, callers::ResponseStreamPointer response) {
              asio::post(this->ioContext, [this, request = std::move(request), response = std::move(response)] {
                  if (operators::Console::serves(request.target))
                      this->console->handle(request, response);
                  else
                      this->operatorApi->handle(request, response);
              });
          }))
{
}

Runtime::~Runtime() = default;

core::Expected<void> Runtime::run()
{
    for (auto* server : { this->callerServer.get(), this->operatorServer.get() }) {
        if (auto started = server->start(); !started)
            return started;
    }
    if (auto started = this->peerNetwork->start(); !started)
        return started;
    core::logInfo("node_started")
        .with("caller_address", this->settings->callerAddress.text())
        .with("zone", this->settings->zone)
        .with("region", this->settings->region);
    this->watchSignals();
    this->documentRepository->load();
    this->scheduleTick();
    this->pollVmList();
    const auto work = asio::make_work_guard(this->ioContext);
    this->ioContext.run();
    this->peerNetwork->leave(core::monotonicNow());
    this->callerServer->stop();
    this->operatorServer->stop();
    core::logInfo("node_stopped");
    return {};
}

void Runtime::watchSignals()
{
    this->signals.async_wait([this](const asio::error_code& error, int) {
        if (error)
            return;
        this->peerNetwork->setLeaving();
        this->handleEvent(DrainRequested {});
    });
}

void Runtime::stop()
{
    this->ioContext.stop();
}

void Runtime::post(Event event)
{
    asio::post(this->ioContext, [this, event = std::move(event)] { this->handleEvent(event); });
}

void Runtime::forgetEnded(const Event& event)
{
    if (const auto* finished = std::get_if<GenerationFinished>(&event))
        this->generationRequests.erase(finished->attempt);
    // From here on the peer network relays the owner's answer to the caller.
    const auto* answered = std::get_if<ForwardAnswered>(&event);
    if (answered != nullptr && answered->code != static_cast<int>(core::ResultCode::PartitionUnavailable))
        this->openCalls.erase(answered->call);
}

void Runtime::handleEvent(const Event& event)
{
    this->forgetEnded(event);
    auto effects = this->controller->handle(event, core::monotonicNow(), core::unixMilliseconds());
    for (auto& effect : effects)
        std::visit([this](auto& each) { this->perform(std::move(each)); }, effect);
}

void Runtime::onRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response)
{
    asio::post(this->ioContext, [this, request = std::move(request), response = std::move(response)]() mutable {
        this->acceptRequest(std::move(request), std::move(response), false);
    });
}

void Runtime::acceptRequest(callers::IncomingRequest request, callers::ResponseStreamPointer response, bool forwarded)
{
    const CallId call = ++this->lastCall;
    this->openCalls.emplace(call, OpenCall { std::move(response), nullptr });
    this->handleEvent(CallArrived { call, std::move(request), forwarded });
}

PeerNetwork::Handlers Runtime::peerHandlers()
{
    PeerNetwork::Handlers handlers;
    handlers.membersChanged
        = [this](std::vector<Member> members) { this->handleEvent(MembersChanged { std::move(members) }); };
    handlers.documentAdopted
        = [this](std::uint64_t version, const std::string& text) { this->documentRepository->adopt(version, text); };
    handlers.vmListAdopted = [this](const std::string& list) { this->onVmList(list); };
    handlers.requestArrived = [this](callers::IncomingRequest request, callers::ResponseStreamPointer response) {
        this->acceptRequest(std::move(request), std::move(response), true);
    };
    handlers.event = [this](const Event& event) { this->handleEvent(event); };
    return handlers;
}

void Runtime::onDocument(const DocumentInForce& document)
{
    this->peerNetwork->publishDocument(document.version, document.text);
    this->handleEvent(DocumentChanged { document.version, document.document });
}

void Runtime::onVmList(const std::string& text)
{
    const auto list = vmlist::parseVmList(text);
    if (!list) {
        core::logWarning("vm_list_unreadable").with("message", list.error().message);
        return;
    }
    if (list->version <= this->vmListVersion)
        return;
    this->vmListVersion = list->version;
    this->peerNetwork->publishVmList(list->version, text);
    this->handleEvent(VmListChanged { *list });
}

nlohmann::json Runtime::status() const
{
    const auto versionOf = [this](const std::string& node) { return this->peerNetwork->documentVersionOf(node); };
    return nodeStatus(this->controller->state(), versionOf, core::monotonicNow());
}

void Runtime::scheduleTick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->peerNetwork->tick(core::monotonicNow());
        this->handleEvent(Tick {});
        this->scheduleTick();
    });
}

void Runtime::scheduleVmListPoll()
{
    this->vmListTimer.expires_after(vmListPollInterval);
    this->vmListTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->pollVmList();
    });
}

void Runtime::publishTransportMetrics()
{
    const auto* counts = this->peerNetwork->transportCounts();
    if (counts == nullptr)
        return;
    const auto publish = [this](const std::string& name, const std::atomic<std::uint64_t>& count) {
        this->metrics.set(name, {}, static_cast<double>(count.load()));
    };
    publish("lagoontiller_node_messages_sent", counts->sent);
    publish("lagoontiller_node_bytes_sent", counts->sentBytes);
    publish("lagoontiller_node_messages_received", counts->received);
    publish("lagoontiller_node_bytes_received", counts->receivedBytes);
    publish("lagoontiller_node_messages_malformed", counts->malformed);
    publish("lagoontiller_node_probes_dropped", counts->droppedProbes);
    publish("lagoontiller_node_messages_dropped", counts->droppedOther);
}

void Runtime::pollVmList()
{
    this->publishTransportMetrics();
    if (!this->peerNetwork->pollsVmList()) {
        this->scheduleVmListPoll();
        return;
    }
    this->vmList.fetch([this](core::Expected<std::string> text) {
        asio::post(this->ioContext, [this, text = std::move(text)] {
            if (text)
                this->onVmList(*text);
            else
                core::logWarning("vm_list_unavailable").with("message", text.error().message);
            this->scheduleVmListPoll();
        });
    });
}

void Runtime::perform(SendAnswer effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end())
        return;
    found->second.response->respond(effect.status, effect.headers, std::move(effect.body));
    this->openCalls.erase(found);
}

void Runtime::perform(const OpenAnswer& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end())
        return;
    found->second.answer = std::make_shared<AnswerStream>(effect.metadata);
    found->second.answer->subscribe(effect.call, found->second.response, effect.stream);
}

void Runtime::perform(JoinAnswer effect)
{
    const auto running = this->openCalls.find(effect.runningCall);
    const auto joining = this->openCalls.find(effect.call);
    if (running == this->openCalls.end() || joining == this->openCalls.end() || !running->second.answer)
        return;
    joining->second.answer = running->second.answer;
    joining->second.answer->subscribe(effect.call, joining->second.response, effect.stream);
}

void Runtime::perform(const FinishAnswer& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found != this->openCalls.end() && found->second.answer)
        found->second.answer->finish(effect.finishChunk);
}

void Runtime::perform(const CloseAnswer& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end() || !found->second.answer)
        return;
    found->second.answer->close(effect.call, effect.commitState, effect.body);
    this->openCalls.erase(found);
}

void Runtime::perform(const RefuseAnswer& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end() || !found->second.answer)
        return;
    found->second.answer->refuse(effect.call, effect.error, effect.retryAfterMs);
    this->openCalls.erase(found);
}

void Runtime::perform(const StartGeneration& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end() || !found->second.answer)
        return;
    struct GenerationHandler {
        Runtime& runtime;
        AttemptId attempt;
        std::shared_ptr<AnswerStream> answer;
        bool started = false;

        void operator()(const engines::EngineStarted&) { }
        void operator()(const engines::EngineText& text)
        {
            if (!this->started)
                this->runtime.post(GenerationStarted { this->attempt });
            this->started = true;
            this->answer->addText(text.text);
        }
        void operator()(const engines::EngineFinished& result)
        {
            this->runtime.post(GenerationFinished { this->attempt, this->answer->text(), result });
        }
        void operator()(const engines::EngineFailed& failure)
        {
            this->runtime.post(GenerationFailed { this->attempt, this->answer->text(), failure });
        }
    };
    auto handler
        = std::make_shared<GenerationHandler>(GenerationHandler { *this, effect.attempt, found->second.answer });
    const auto generate = [this, handler](const StartGeneration& generation) {
        this->generationRequests[generation.attempt] = this->engines.generate(
            generation.request, [handler](const engines::EngineEvent& event) { std::visit(*handler, event); });
    };
    if (effect.cacheSource.empty()) {
        generate(effect);
        return;
    }
    const auto& request = effect.request;
    this->cacheTransfers.insert(effect.attempt);
    this->engines.moveCache(
        effect.cacheSource, request.endpoint, request.cacheKey, [this, effect, generate](bool moved) {
            // If the transfer failed, the engine recomputes the prompt.
            this->metrics.add("lagoontiller_cache_moves_total", { { "moved", moved ? "true" : "false" } });
            asio::post(this->ioContext, [this, effect, generate] {
                if (this->cacheTransfers.erase(effect.attempt) > 0)
                    generate(effect);
            });
        });
}

void Runtime::perform(const CancelGeneration& effect)
{
    this->cacheTransfers.erase(effect.attempt);
    const auto found = this->generationRequests.find(effect.attempt);
    if (found != this->generationRequests.end()) {
        this->client.cancel(found->second);
        this->generationRequests.erase(found);
    }
    this->engines.cancel(effect.endpoint, effect.requestId);
}

void Runtime::perform(const CallService& effect)
{
    this->services.call(
        effect.request, [this, attempt = effect.attempt](core::Expected<services::ServiceResponse> answer) {
            this->post(ServiceFinished { attempt, std::move(answer) });
        });
}

void Runtime::perform(const ReleaseCache& effect)
{
    const auto key = cacheKey(effect.program);
    this->engines.releaseCache(effect.endpoint, key, [this, effect](bool confirmed) {
        this->post(CacheReleased { effect.program, effect.endpoint, confirmed });
    });
}

void Runtime::perform(const PollLoad& effect)
{
    this->engines.fetchLoad(
        effect.endpoint, [this, endpoint = effect.endpoint](core::Expected<engines::EngineLoad> load) {
            if (load)
                this->post(LoadReported { endpoint, *load });
        });
}

void Runtime::perform(const ForwardCall& effect)
{
    const auto found = this->openCalls.find(effect.call);
    if (found == this->openCalls.end())
        return;
    this->peerNetwork->forward(effect.call, effect.node, effect.request, found->second.response, core::monotonicNow());
}

void Runtime::perform(SendToNode effect)
{
    this->peerNetwork->send(effect.node, std::move(effect.envelope));
}

void Runtime::perform(BroadcastPoisonNotice effect)
{
    nodes::wire::Envelope envelope;
    auto* notice = envelope.mutable_poison_notice();
    notice->set_endpoint(effect.notice.endpoint);
    for (auto& digest : effect.notice.digests)
        notice->add_digests(std::move(digest));
    notice->set_age_ms(static_cast<std::uint64_t>(effect.notice.age.count() / 1000));
    this->peerNetwork->broadcast(envelope);
}

void Runtime::perform(StoreOperation effect)
{
    std::visit([&](const auto& operation) { this->store(effect.client, operation); }, effect.operation);
}

void Runtime::perform(DrainFinished)
{
    core::logInfo("drain_finished");
    this->stop();
}

void Runtime::store(StoreClient storeClient, const state::WriteTransaction& operation)
{
    this->tables.transact(
        operation.transaction, [this, storeClient, id = operation.operation](state::TransactionResult result) {
            this->post(TransactionReplied { storeClient, id, std::move(result) });
        });
}

void Runtime::store(StoreClient storeClient, const state::WriteObject& operation)
{
    this->objects.put(
        operation.key, operation.bytes, [this, storeClient, id = operation.operation](state::WriteResult result) {
            this->post(ObjectWritten { storeClient, id, std::move(result) });
        });
}

void Runtime::store(StoreClient storeClient, const state::ReadRow& operation)
{
    this->tables.read(operation.key, [this, storeClient, id = operation.operation](state::RowResult result) {
        this->post(RowReplied { storeClient, id, std::move(result) });
    });
}

void Runtime::store(StoreClient, const state::ScanRows& operation)
{
    this->tables.scan(operation.prefix, operation.after, static_cast<int>(operation.limit),
        [this, id = operation.operation](state::RowsResult result) {
            this->post(RowsReplied { id, std::move(result) });
        });
}

void Runtime::store(StoreClient, const state::ReadObject& operation)
{
    this->objects.get(operation.key, [this, id = operation.operation](state::ObjectResult result) {
        this->post(ObjectReplied { id, std::move(result) });
    });
}

void Runtime::store(StoreClient, const state::DeleteObject& operation)
{
    this->objects.remove(operation.key, [](const state::WriteResult&) {});
}

} // namespace lagoontiller::control
