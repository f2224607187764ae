#pragma once

#include "control/AnswerStream.h"
#include "control/Controller.h"
#include "tests/support/ControlDocument.h"
#include "tests/support/FakeEndpoints.h"
#include "tests/support/FakeStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoontiller::tests {

/// \brief What a caller has received for one request.
struct CallerAnswer {
    int status = 0;
    http::Headers headers;
    /// \brief Body of a whole answer, or all bytes of a stream.
    std::string body;
    bool begun = false;
    bool ended = false;
    /// \brief False when the answer was cut off or the entry node died.
    bool complete = false;

    [[nodiscard]] bool isStream() const;
    /// \brief Text of the model's answer, whole or streamed.
    [[nodiscard]] std::string text() const;
    /// \brief `committed`, `pending` or `uncommitted`; empty when the answer has none.
    [[nodiscard]] std::string commitState() const;
    /// \brief Field `ran` of the refusal, or empty.
    [[nodiscard]] std::string ran() const;
    /// \brief Name of the refusal's code, or empty.
    [[nodiscard]] std::string code() const;
};
using Answer = std::shared_ptr<CallerAnswer>;

/// \brief Several controllers under one virtual clock with fakes of everything around them.
class ControlWorld {
public:
    static constexpr core::Duration step = std::chrono::milliseconds(10);
    static constexpr core::Duration hop = std::chrono::milliseconds(2);
    /// \brief Time after which the others see that a node is dead or paused.
    static constexpr core::Duration detection = std::chrono::seconds(3);
    /// \brief Forwarded calls end after this time without a message; the value is that of nodes::ForwardStreams.
    static constexpr core::Duration idleLimit = std::chrono::seconds(120);

    explicit ControlWorld(std::size_t nodes = 3, std::uint64_t seed = 1, ControlDocumentValues values = {});

    void advance(core::Duration duration);
    /// \brief Runs until the condition holds; false when it does not within the limit.
    bool runUntil(const std::function<bool()>& condition, core::Duration limit = std::chrono::seconds(60));
    /// \brief Runs until every partition has a node that serves it.
    bool settle(core::Duration limit = std::chrono::seconds(60));

    Answer send(std::size_t node, callers::IncomingRequest request);
    void kill(std::size_t node);
    void start(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void drain(std::size_t node);
    /// \brief Gives the node an event that no fake sends.
    void inject(std::size_t node, const control::Event& event) { this->handle(node, event); }
    void setDocument(std::shared_ptr<const document::Document> document);
    void setVmList(vmlist::VmList list);
    /// \brief The endpoints of the document as a VM list, to be changed by the test.
    [[nodiscard]] vmlist::VmList documentVms() const;

    [[nodiscard]] bool alive(std::size_t node) const { return this->hosts.at(node).process != nullptr; }
    [[nodiscard]] bool drained(std::size_t node) const { return this->hosts.at(node).drained; }
    /// \brief Index of the node that serves the program; the number of nodes when none does.
    [[nodiscard]] std::size_t ownerOf(const core::ProgramKey& program) const;
    [[nodiscard]] const control::Controller& controller(std::size_t node) const;
    [[nodiscard]] std::size_t size() const { return this->hosts.size(); }

    core::TimePoint now { std::chrono::hours(1) };
    FakeStore store;
    FakeEndpoints endpoints;
    /// \brief Called before an effect is performed, with the node's index.
    std::function<void(std::size_t, const control::Effect&)> onEffect;

private:
    struct OpenCall {
        callers::ResponseStreamPointer response;
        std::shared_ptr<control::AnswerStream> answer;
    };
    struct Process {
        core::MetricRegistry metrics;
        std::unique_ptr<control::Controller> controller;
        std::map<control::CallId, OpenCall> open;
        control::CallId lastCall = 0;
        std::vector<std::function<void()>> inbox;
        std::vector<Answer> callers;
    };
    struct Host {
        std::string name;
        std::string region;
        int runs = 0;
        bool paused = false;
        bool leaving = false;
        bool drained = false;
        bool seenAlive = true;
        std::shared_ptr<Process> process {};
    };
    struct Forward {
        std::size_t from = 0;
        std::size_t to = 0;
        std::weak_ptr<Process> process;
        control::CallId call = 0;
        callers::ResponseStreamPointer response;
        bool headPassed = false;
        bool over = false;
    };

    void at(core::Duration delay, std::function<void()> function);
    /// \brief Runs a function of a process: now, after its pause, or never when it has died.
    void deliver(std::size_t node, const std::weak_ptr<Process>& process, core::Duration delay,
        std::function<void(Process&)> function);
    void handle(std::size_t node, const control::Event& event);
    void post(std::size_t node, const std::weak_ptr<Process>& process, core::Duration delay, control::Event event);
    void accept(
        std::size_t node, callers::IncomingRequest request, callers::ResponseStreamPointer response, bool forwarded);
    void publishMembers();
    void loseSeen(std::size_t node);
    void perform(std::size_t node, const control::Effect& effect);
    void on(std::size_t node, const control::SendAnswer& effect);
    void on(std::size_t node, const control::OpenAnswer& effect);
    void on(std::size_t node, const control::JoinAnswer& effect);
    void on(std::size_t node, const control::FinishAnswer& effect);
    void on(std::size_t node, const control::CloseAnswer& effect);
    void on(std::size_t node, const control::RefuseAnswer& effect);
    void on(std::size_t node, const control::StartGeneration& effect);
    void on(std::size_t node, const control::CancelGeneration& effect);
    void on(std::size_t node, const control::CallService& effect);
    void on(std::size_t node, const control::ReleaseCache& effect);
    void on(std::size_t node, const control::PollLoad& effect);
    void on(std::size_t node, const control::ForwardCall& effect);
    void on(std::size_t node, const control::SendToNode& effect);
    void on(std::size_t node, const control::StoreOperation& effect);
    void on(std::size_t node, const control::BroadcastPoisonNotice& effect);
    void on(std::size_t node, const control::DrainFinished& effect);
    [[nodiscard]] callers::ResponseStreamPointer responseTo(const std::shared_ptr<Forward>& forward);
    void passHead(const std::shared_ptr<Forward>& forward, int status, const http::Headers& headers);
    void endForward(const std::shared_ptr<Forward>& forward, bool complete);
    void reply(std::size_t node, const control::StoreOperation& effect, state::OperationId operation,
        const FakeStore::Reply& reply, const std::weak_ptr<Process>& process);
    [[nodiscard]] std::int64_t unixMs() const;

    std::vector<Host> hosts;
    std::multimap<core::TimePoint, std::function<void()>> events;
    std::vector<std::shared_ptr<Forward>> forwards;
    std::shared_ptr<const document::Document> document;
    std::uint64_t documentVersion = 1;
    std::optional<vmlist::VmList> vms;
    std::uint64_t seed;
};

/// \brief Headers of a test's request beside the customer's key.
struct CallHeaders {
    std::string program {};
    int turn = 0;
    std::string key {};
    std::string programClass {};
    bool append = false;
};
callers::IncomingRequest turnRequest(const std::string& customer, const std::string& message,
    const CallHeaders& headers = {}, bool stream = false, int maximumTokens = 100);
callers::IncomingRequest serviceRequest(
    const std::string& customer, const std::string& path, const std::string& body, const CallHeaders& headers = {});
callers::IncomingRequest plainRequest(
    const std::string& customer, const std::string& method, const std::string& target, const CallHeaders& headers = {});

} // namespace lagoontiller::tests
