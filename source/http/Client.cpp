#include "http/Client.h"

#include "http/impl/Transfer.h"

#include <mutex>
#include <thread>
#include <unordered_map>

namespace lagoontiller::http {

namespace {

constexpr std::size_t maxFetchedBodyBytes = std::size_t(256) << 20;
constexpr long connectionCacheSize = 2000;
constexpr int pollIntervalMs = 50;

} // namespace

class Client::Implementation {
public:
    Implementation()
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, connectionCacheSize);
        curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Implementation()
    {
        this->stopping = true;
        curl_multi_wakeup(this->multi);
        this->thread.join();
        curl_multi_cleanup(this->multi);
    }

    RequestId start(Request request, Handler handler)
    {
        const RequestId id = ++this->lastId;
        this->enqueue([this, id, request = std::move(request), handler = std::move(handler)]() mutable {
            auto transfer = std::make_unique<impl::Transfer>(
                id, std::move(request), std::move(handler), this->connections, core::monotonicNow());
            curl_multi_add_handle(this->multi, transfer->handle());
            this->transfers.emplace(id, std::move(transfer));
        });
        return id;
    }

    void cancel(RequestId id)
    {
        this->enqueue([this, id] { this->failTransfer(id, FailureKind::Cancelled); });
    }

private:
    using Command = std::function<void()>;

    void enqueue(Command command)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(this->mutex);
            wasEmpty = this->commands.empty();
            this->commands.push_back(std::move(command));
        }
        if (wasEmpty)
            curl_multi_wakeup(this->multi);
    }

    void run()
    {
        while (!this->stopping) {
            this->runCommands();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collectFinished();
            this->failTimedOut();
            curl_multi_poll(this->multi, nullptr, 0, pollIntervalMs, nullptr);
        }
        this->runCommands();
        while (!this->transfers.empty())
            this->failTransfer(this->transfers.begin()->first, FailureKind::Cancelled);
    }

    void runCommands()
    {
        std::vector<Command> batch;
        {
            const std::lock_guard lock(this->mutex);
            batch.swap(this->commands);
        }
        for (auto& command : batch)
            command();
    }

    void collectFinished()
    {
        int remaining = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode result = message->data.result;
            impl::Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            curl_multi_remove_handle(this->multi, transfer->handle());
            if (transfer->selectNewConnection()) {
                curl_multi_add_handle(this->multi, transfer->handle());
                continue;
            }
            transfer->finish(result);
            this->transfers.erase(transfer->id());
        }
    }

    void failTimedOut()
    {
        const auto now = core::monotonicNow();
        if (now - this->lastTimeoutCheck < std::chrono::milliseconds(pollIntervalMs))
            return;
        this->lastTimeoutCheck = now;
        std::vector<std::pair<RequestId, FailureKind>> timedOut;
        for (const auto& [id, transfer] : this->transfers) {
            if (const auto kind = transfer->exceededTimeout(now))
                timedOut.emplace_back(id, *kind);
        }
        for (const auto& [id, kind] : timedOut)
            this->failTransfer(id, kind);
    }

    void failTransfer(RequestId id, FailureKind kind)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end())
            return;
        const auto transfer = std::move(found->second);
        this->transfers.erase(found);
        curl_multi_remove_handle(this->multi, transfer->handle());
        transfer->fail(kind, std::string(name(kind)));
    }

    impl::ConnectionTable connections;
    CURLM* multi = nullptr;
    std::thread thread;
    std::atomic<bool> stopping { false };
    std::atomic<RequestId> lastId { 0 };
    std::mutex mutex;
    std::vector<Command> commands;
    std::unordered_map<RequestId, std::unique_ptr<impl::Transfer>> transfers;
    core::TimePoint lastTimeoutCheck {};
};

Client::Client()
    : implementation(std::make_unique<Implementation>())
{
}

Client::~Client() = default;

RequestId Client::start(Request request, Handler handler)
{
    return this->implementation->start(std::move(request), std::move(handler));
}

RequestId Client::fetch(Request request, ResponseHandler handler)
{
    struct Collector {
        Response response;
        ResponseHandler handler;
        bool tooLarge = false;

        void operator()(const ResponseHead& head)
        {
            this->response.status = head.status;
            this->response.headers = head.headers;
        }
        void operator()(const ResponseData& data)
        {
            this->tooLarge = this->tooLarge || this->response.body.size() + data.bytes.size() > maxFetchedBodyBytes;
            if (!this->tooLarge)
                this->response.body.append(data.bytes);
        }
        void operator()(const ResponseEnd&)
        {
            if (this->tooLarge)
                this->handler(
                    tl::unexpected(ResponseFailure { FailureKind::Interrupted, "response body exceeds 256 MiB" }));
            else
                this->handler(std::move(this->response));
        }
        void operator()(const ResponseFailure& failure) { this->handler(tl::unexpected(failure)); }
    };
    auto collector = std::make_shared<Collector>();
    collector->handler = std::move(handler);
    return this->start(std::move(request), [collector](const ResponseEvent& event) { std::visit(*collector, event); });
}

void Client::cancel(RequestId id)
{
    this->implementation->cancel(id);
}

} // namespace lagoontiller::http
