#include "control/Overloaded.h"
#include "tests/support/ControlWorld.h"

#include <charconv>

namespace lagoontiller::tests {

namespace {

int resultCodeOf(const http::Headers& headers)
{
    const auto value = http::headerValue(headers, "X-Result-Code");
    int code = 0;
    std::from_chars(value.data(), value.data() + value.size(), code);
    return code;
}

} // namespace

void ControlWorld::perform(std::size_t node, const control::Effect& effect)
{
    std::visit([&](const auto& each) { this->on(node, each); }, effect);
}

void ControlWorld::on(std::size_t node, const control::SendAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found == open.end())
        return;
    found->second.response->respond(effect.status, effect.headers, effect.body);
    open.erase(effect.call);
}

void ControlWorld::on(std::size_t node, const control::OpenAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found == open.end())
        return;
    found->second.answer = std::make_shared<control::AnswerStream>(effect.metadata);
    found->second.answer->subscribe(effect.call, found->second.response, effect.stream);
}

void ControlWorld::on(std::size_t node, const control::JoinAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto running = open.find(effect.runningCall);
    const auto joining = open.find(effect.call);
    if (running == open.end() || joining == open.end() || !running->second.answer)
        return;
    joining->second.answer = running->second.answer;
    joining->second.answer->subscribe(effect.call, joining->second.response, effect.stream);
}

void ControlWorld::on(std::size_t node, const control::FinishAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found != open.end() && found->second.answer)
        found->second.answer->finish(effect.finishChunk);
}

void ControlWorld::on(std::size_t node, const control::CloseAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found == open.end() || !found->second.answer)
        return;
    found->second.answer->close(effect.call, effect.commitState, effect.body);
    open.erase(effect.call);
}

void ControlWorld::on(std::size_t node, const control::RefuseAnswer& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found == open.end() || !found->second.answer)
        return;
    found->second.answer->refuse(effect.call, effect.error, effect.retryAfterMs);
    open.erase(effect.call);
}

void ControlWorld::on(std::size_t node, const control::StartGeneration& effect)
{
    const auto process = this->hosts[node].process;
    const auto found = process->open.find(effect.call);
    if (found == process->open.end() || !found->second.answer)
        return;
    const std::weak_ptr weak = process;
    const auto answer = found->second.answer;
    const auto attempt = effect.attempt;
    const auto started = std::make_shared<bool>(false);
    FakeEndpoints::EngineCaller caller;
    caller.text = [this, node, weak, answer, attempt, started](const std::string& text) {
        this->deliver(node, weak, core::Duration(0), [answer, text](Process&) { answer->addText(text); });
        if (!std::exchange(*started, true))
            this->post(node, weak, core::Duration(0), control::GenerationStarted { attempt });
    };
    caller.finished = [this, node, weak, answer, attempt](const engines::EngineFinished& result) {
        this->deliver(node, weak, core::Duration(0), [this, node, answer, attempt, result](Process&) {
            this->handle(node, control::GenerationFinished { attempt, answer->text(), result });
        });
    };
    caller.failed = [this, node, weak, answer, attempt](const engines::EngineFailed& failure) {
        this->deliver(node, weak, core::Duration(0), [this, node, answer, attempt, failure](Process&) {
            this->handle(node, control::GenerationFailed { attempt, answer->text(), failure });
        });
    };
    this->endpoints.generate(effect.request, std::move(caller), this->now);
}

void ControlWorld::on(std::size_t, const control::CancelGeneration& effect)
{
    this->endpoints.cancel(effect.requestId);
}

void ControlWorld::on(std::size_t node, const control::CallService& effect)
{
    const std::weak_ptr weak = this->hosts[node].process;
    this->endpoints.call(
        effect.request,
        [this, node, weak, attempt = effect.attempt](core::Expected<services::ServiceResponse> answer) {
            this->post(node, weak, core::Duration(0), control::ServiceFinished { attempt, std::move(answer) });
        },
        this->now);
}

void ControlWorld::on(std::size_t node, const control::ReleaseCache& effect)
{
    const std::weak_ptr weak = this->hosts[node].process;
    this->at(hop, [this, node, weak, effect] {
        const bool confirmed = this->endpoints.release(effect.endpoint, control::cacheKey(effect.program));
        this->post(node, weak, hop, control::CacheReleased { effect.program, effect.endpoint, confirmed });
    });
}

void ControlWorld::on(std::size_t, const control::PollLoad&) { }

void ControlWorld::on(std::size_t node, const control::SendToNode& effect)
{
    static_cast<void>(node);
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        const auto& host = this->hosts[index];
        if (host.name != effect.node || !host.process)
            continue;
        if (effect.envelope.has_outcome_report())
            this->post(index, host.process, hop, control::OutcomeReported { effect.envelope.outcome_report() });
        else if (effect.envelope.has_handover())
            this->post(index, host.process, hop, control::PartitionsHandedOver {});
    }
}

void ControlWorld::on(std::size_t node, const control::BroadcastPoisonNotice& effect)
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (index != node && this->hosts[index].process)
            this->post(index, this->hosts[index].process, hop, control::PoisonNoticeReceived { effect.notice });
    }
}

void ControlWorld::on(std::size_t node, const control::DrainFinished&)
{
    this->hosts[node].drained = true;
}

void ControlWorld::on(std::size_t node, const control::ForwardCall& effect)
{
    auto& open = this->hosts[node].process->open;
    const auto found = open.find(effect.call);
    if (found == open.end())
        return;
    auto forward = std::make_shared<Forward>();
    forward->from = node;
    forward->process = this->hosts[node].process;
    forward->call = effect.call;
    forward->response = found->second.response;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].name == effect.node)
            forward->to = index;
    }
    std::erase_if(this->forwards, [](const auto& each) { return each->over; });
    this->forwards.push_back(forward);
    const auto target = this->hosts[forward->to].process;
    this->at(idleLimit, [this, forward, target = std::weak_ptr(target)] {
        if (target.expired())
            this->endForward(forward, false);
    });
    if (!target)
        return; // The message is lost; the forward fails when membership sees that the node is gone.
    this->deliver(forward->to, target, hop, [this, forward, request = effect.request](Process&) {
        this->accept(forward->to, request, this->responseTo(forward), true);
    });
}

callers::ResponseStreamPointer ControlWorld::responseTo(const std::shared_ptr<Forward>& forward)
{
    callers::ResponseStream::Target target;
    target.begin = [this, forward](int status, const http::Headers& headers) {
        this->at(hop, [this, forward, status, headers] { this->passHead(forward, status, headers); });
    };
    target.data = [this, forward](const std::string& bytes) {
        this->at(hop, [forward, bytes] {
            if (forward->headPassed && !forward->over && !forward->process.expired())
                forward->response->data(bytes);
        });
    };
    target.end = [this, forward](bool complete) {
        this->at(hop, [this, forward, complete] { this->endForward(forward, complete); });
    };
    target.respond = [target](int status, const http::Headers& headers, std::string body) {
        target.begin(status, headers);
        target.data(std::move(body));
        target.end(true);
    };
    return std::make_shared<callers::ResponseStream>(std::move(target));
}

void ControlWorld::passHead(const std::shared_ptr<Forward>& forward, int status, const http::Headers& headers)
{
    if (forward->over || forward->process.expired())
        return;
    const int code = resultCodeOf(headers);
    this->post(forward->from, forward->process, core::Duration(0), control::ForwardAnswered { forward->call, code });
    if (code == static_cast<int>(core::ResultCode::PartitionUnavailable)) {
        forward->over = true;
        return;
    }
    forward->headPassed = true;
    forward->response->begin(status, headers);
}

void ControlWorld::endForward(const std::shared_ptr<Forward>& forward, bool complete)
{
    if (std::exchange(forward->over, true) || forward->process.expired())
        return;
    if (forward->headPassed)
        forward->response->end(complete);
    else
        this->post(forward->from, forward->process, core::Duration(0), control::ForwardFailed { forward->call, true });
}

void ControlWorld::on(std::size_t node, const control::StoreOperation& effect)
{
    const std::weak_ptr weak = this->hosts[node].process;
    const auto submit = [&](const auto& operation) {
        this->store.submit(
            operation,
            [this, node, weak, effect, id = operation.operation](
                const FakeStore::Reply& reply) { this->reply(node, effect, id, reply, weak); },
            this->now);
    };
    std::visit(control::Overloaded {
                   [&](const state::DeleteObject& operation) { this->store.table.objects.erase(operation.key); },
                   [&](const auto& operation) { submit(operation); },
               },
        effect.operation);
}

void ControlWorld::reply(std::size_t node, const control::StoreOperation& effect, state::OperationId operation,
    const FakeStore::Reply& reply, const std::weak_ptr<Process>& process)
{
    const auto user = effect.client;
    const auto send = [&](control::Event event) { this->post(node, process, core::Duration(0), std::move(event)); };
    std::visit(control::Overloaded {
                   [&](const state::TransactionResult& result) {
                       send(control::TransactionReplied { user, operation, result });
                   },
                   [&](const state::WriteResult& result) {
                       send(control::ObjectWritten { user, operation, result });
                   },
                   [&](const state::RowResult& result) {
                       send(control::RowReplied { user, operation, result });
                   },
                   [&](const state::RowsResult& result) {
                       send(control::RowsReplied { operation, result });
                   },
                   [&](const state::ObjectResult& result) {
                       send(control::ObjectReplied { operation, result });
                   },
               },
        reply);
}

} // namespace lagoontiller::tests
