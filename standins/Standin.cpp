#include "standins/Standin.h"

#include "core/Log.h"

namespace lagoontiller::standins {

namespace {

using core::ResultCode;

/// \brief Executes the request but resets the connection instead of answering.
class ReplyDropper final : public HttpExchange {
public:
    explicit ReplyDropper(ExchangePointer inner)
        : inner(std::move(inner))
    {
    }

    [[nodiscard]] const HttpRequest& request() const noexcept override { return this->inner->request(); }
    void answer(int, const std::string&, const std::string&, const HttpHeaders&) override { this->inner->abort(); }
    void startStream(const std::string&) override { this->inner->abort(); }
    void send(const std::string&) override { }
    void finish() override { }
    void abort() override { this->inner->abort(); }
    void silence() override { this->inner->silence(); }
    [[nodiscard]] bool open() const noexcept override { return this->inner->open(); }

private:
    ExchangePointer inner;
};

} // namespace

void refuse(HttpExchange& exchange, const core::Error& error)
{
    const nlohmann::json body { { "error",
        { { "code", static_cast<int>(error.code) }, { "name", core::name(error.code) },
            { "message", error.message } } } };
    exchange.answer(core::httpStatus(error.code), body.dump());
}

Standin::Standin(Loop& loop, std::string kind, std::string name, const std::string& address, core::Duration delay)
    : ownLoop(loop)
    , kind(std::move(kind))
    , ownName(std::move(name))
    , delay(delay)
    , server(loop, address, [this](const ExchangePointer& exchange) { this->handle(exchange); })
{
}

void Standin::start()
{
    this->server.open();
}

core::Expected<nlohmann::json> Standin::control(const nlohmann::json& body)
{
    if (!body.is_object())
        return core::failure(ResultCode::MalformedJson, "a control request is a JSON object");
    if (!body.contains("fault"))
        return this->applyControl(body);
    const auto fault = fakes::parseFault(body);
    if (!fault)
        return tl::unexpected(fault.error());
    if (*fault)
        this->setFault(**fault);
    else {
        this->plan.clear();
        this->hungExchanges.clear();
        this->endOutage();
    }
    this->faultsChanged();
    return nlohmann::json { { "accepted", true } };
}

nlohmann::json Standin::counters()
{
    nlohmann::json result { { "kind", this->kind }, { "name", this->ownName },
        { "listening", this->server.listening() }, { "requests", this->requests }, { "downs", this->outages },
        { "unanswered", this->server.unanswered().size() } };
    this->addCounters(result);
    return result;
}

core::Expected<nlohmann::json> Standin::applyControl(const nlohmann::json&)
{
    return core::failure(ResultCode::MissingField, "a control request needs fault");
}

void Standin::handle(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/control")
        return this->handleControl(*exchange);
    ++this->requests;
    using Action = fakes::FaultDecision::Action;
    const auto decision = this->plan.decide(request.method, request.path, request.body, core::monotonicNow());
    if (decision.action == Action::Crash)
        return this->startOutage(decision.downTime);
    if (decision.action == Action::Hang) {
        this->hungExchanges.push_back(exchange);
        return;
    }
    auto served = decision.action == Action::LoseReply ? std::make_shared<ReplyDropper>(exchange) : exchange;
    const auto wait = this->delay + decision.delay;
    if (wait.count() <= 0)
        return this->serveOrRefuse(served);
    this->ownLoop.after(wait, [this, served] {
        if (served->open())
            this->serveOrRefuse(served);
    });
}

void Standin::handleControl(HttpExchange& exchange)
{
    if (exchange.request().method == "GET")
        return exchange.answer(200, this->counters().dump());
    try {
        const auto result = this->control(nlohmann::json::parse(exchange.request().body));
        if (!result)
            return refuse(exchange, result.error());
        exchange.answer(200, result->dump());
    } catch (const nlohmann::json::exception& error) {
        refuse(exchange, { ResultCode::MalformedJson, error.what() });
    }
}

void Standin::serveOrRefuse(const ExchangePointer& exchange)
{
    try {
        this->serve(exchange);
    } catch (const nlohmann::json::exception& error) {
        refuse(*exchange, { ResultCode::MalformedJson, error.what() });
    }
}

void Standin::setFault(const fakes::Fault& fault)
{
    core::logInfo("fault").with("stand_in", this->ownName).with("fault", fakes::name(fault.kind));
    if (fault.kind == fakes::FaultKind::Down) {
        // The control request itself is answered before the connections are reset.
        this->ownLoop.after(std::chrono::milliseconds(5), [this, fault] { this->startOutage(*fault.duration); });
        return;
    }
    if (fault.kind == fakes::FaultKind::Silent) {
        for (const auto& exchange : this->server.unanswered()) {
            if (exchange->request().path == "/control")
                continue;
            exchange->silence();
            this->hungExchanges.push_back(exchange);
        }
        return;
    }
    this->plan.set(fault, core::monotonicNow());
    // The engine's slowness is a state, not a decision per request, so it has to be updated when the fault ends.
    if (fault.duration)
        this->ownLoop.after(*fault.duration, [this] { this->faultsChanged(); });
}

void Standin::startOutage(core::Duration duration)
{
    if (!this->server.listening())
        return;
    core::logInfo("down").with("stand_in", this->ownName).with("ms", duration.count() / 1000);
    ++this->outages;
    this->server.close();
    this->hungExchanges.clear();
    this->onOutage();
    const auto generation = this->outages;
    this->ownLoop.after(duration, [this, generation] {
        if (generation == this->outages)
            this->endOutage();
    });
}

void Standin::endOutage()
{
    if (this->server.listening())
        return;
    this->server.open();
    core::logInfo("up").with("stand_in", this->ownName);
}

} // namespace lagoontiller::standins
