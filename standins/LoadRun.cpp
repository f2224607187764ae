#include "standins/LoadRun.h"

#include <algorithm>
#include <curl/curl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace lagoontiller::standins {

namespace {

constexpr int pollLimitMs = 100;
// Number of trailing bytes kept of each answer; enough to find the end marker of a stream.
constexpr std::size_t tailBytes = 64;

std::int64_t microseconds(core::TimePoint from, core::TimePoint to)
{
    return (to - from).count();
}

/// \brief One connection, which sends its requests sequentially.
class LoadConnection {
public:
    LoadConnection(const LoadOptions& options, LoadResult& result, std::uint64_t index, std::uint64_t& openStreams)
        : options(options)
        , result(result)
        , openStreams(openStreams)
        , index(index)
        , handle(curl_easy_init())
    {
        if (this->handle == nullptr)
            throw std::runtime_error("curl_easy_init() failed");
    }

    ~LoadConnection()
    {
        curl_slist_free_all(this->fields);
        curl_easy_cleanup(this->handle);
    }

    LoadConnection(const LoadConnection&) = delete;
    LoadConnection& operator=(const LoadConnection&) = delete;

    void prepare(std::uint64_t number)
    {
        this->buildRequest(number);
        const auto& entry = this->options.entries[this->index % this->options.entries.size()];
        const auto url = "http://" + entry + "/v1/chat/completions";
        curl_easy_reset(this->handle);
        curl_easy_setopt(this->handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(this->handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->body.size()));
        curl_easy_setopt(this->handle, CURLOPT_POSTFIELDS, this->body.c_str());
        curl_easy_setopt(this->handle, CURLOPT_HTTPHEADER, this->fields);
        curl_easy_setopt(this->handle, CURLOPT_PROXY, "");
        curl_easy_setopt(this->handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(this->handle, CURLOPT_WRITEFUNCTION, &LoadConnection::receive);
        curl_easy_setopt(this->handle, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(this->handle, CURLOPT_PRIVATE, this);
        this->tail.clear();
        this->firstByte.reset();
        this->lastText.reset();
        this->laterTokens = 0;
        this->start = core::monotonicNow();
    }

    void finish(CURLcode code)
    {
        if (this->firstByte && this->options.stream)
            --this->openStreams;
        long status = 0;
        curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &status);
        if (code != CURLE_OK) {
            ++this->result.lost;
            return;
        }
        const bool ended = !this->options.stream || this->tail.find("[DONE]") != std::string::npos;
        if (status != 200 || !ended) {
            ++this->result.refused;
            return;
        }
        ++this->result.answered;
        this->result.latencies.push_back(microseconds(this->start, core::monotonicNow()));
        if (this->laterTokens > 0) {
            const auto total = microseconds(this->firstText, *this->lastText) * 1'000;
            this->result.tokenTimes.push_back(total / static_cast<std::int64_t>(this->laterTokens));
        }
        if (this->firstByte)
            this->result.firstBytes.push_back(microseconds(this->start, *this->firstByte));
    }

    [[nodiscard]] CURL* easy() const noexcept { return this->handle; }

private:
    void buildRequest(std::uint64_t number)
    {
        curl_slist_free_all(this->fields);
        this->fields = curl_slist_append(nullptr, "Expect:");
        this->fields = curl_slist_append(this->fields, "Content-Type: application/json");
        if (!this->options.key.empty())
            this->fields = curl_slist_append(this->fields, ("Authorization: Bearer " + this->options.key).c_str());
        const auto content = "Load request " + std::to_string(number) + " of run " + this->options.nonce;
        nlohmann::json request { { "model", this->options.model }, { "stream", this->options.stream },
            { "max_tokens", this->options.tokens },
            { "messages", { { { "role", "user" }, { "content", content } } } } };
        if (this->options.turns > 1)
            this->addProgram();
        this->body = request.dump();
    }

    void addProgram()
    {
        const auto turn = this->sent % this->options.turns + 1;
        const auto program = "load-" + this->options.nonce + "-" + std::to_string(this->index) + "-"
            + std::to_string(this->sent / this->options.turns);
        ++this->sent;
        this->fields = curl_slist_append(this->fields, ("X-Program-Id: " + program).c_str());
        this->fields = curl_slist_append(this->fields, ("X-Turn: " + std::to_string(turn)).c_str());
        this->fields = curl_slist_append(this->fields, "X-History: append");
    }

    static std::size_t receive(char* data, std::size_t size, std::size_t count, void* user)
    {
        static_cast<LoadConnection*>(user)->add(std::string_view(data, size * count));
        return size * count;
    }

    void add(std::string_view data)
    {
        const auto now = core::monotonicNow();
        if (!this->firstByte) {
            this->firstByte = now;
            if (this->options.stream)
                this->result.peakOpenStreams = std::max(this->result.peakOpenStreams, ++this->openStreams);
        }
        if (this->options.stream)
            this->countTokens(data, now);
        this->tail.append(data.substr(data.size() - std::min(data.size(), tailBytes)));
        if (this->tail.size() > tailBytes)
            this->tail.erase(0, this->tail.size() - tailBytes);
    }

    // A marker split between two reads is not counted; reads end at chunk boundaries except under heavy load.
    void countTokens(std::string_view data, core::TimePoint now)
    {
        static constexpr std::string_view mark = "\"content\"";
        std::uint64_t found = 0;
        for (auto position = data.find(mark); position != std::string_view::npos;
             position = data.find(mark, position + mark.size()))
            ++found;
        if (found == 0)
            return;
        this->result.streamedTokens += found;
        if (this->lastText)
            this->result.readGaps.push_back(microseconds(*this->lastText, now));
        else
            this->firstText = now;
        // Tokens of the first read are excluded: the measured time starts with them.
        if (this->lastText)
            this->laterTokens += found;
        this->lastText = now;
    }

    const LoadOptions& options;
    LoadResult& result;
    std::uint64_t& openStreams;
    std::uint64_t index;
    CURL* handle;
    curl_slist* fields = nullptr;
    std::string body;
    std::string tail;
    std::uint64_t sent = 0;
    core::TimePoint start;
    std::optional<core::TimePoint> firstByte;
    core::TimePoint firstText;
    std::optional<core::TimePoint> lastText;
    std::uint64_t laterTokens = 0;
};

/// \brief All connections on one libcurl multi handle.
class LoadGenerator {
public:
    explicit LoadGenerator(const LoadOptions& options)
        : options(options)
        , multi(curl_multi_init())
    {
        const auto count = std::min(options.connections, options.requests);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(count));
        for (std::uint64_t index = 0; index < count; ++index)
            this->loadConnections.push_back(
                std::make_unique<LoadConnection>(options, this->result, index, this->openStreams));
    }

    ~LoadGenerator()
    {
        for (auto& connection : this->loadConnections)
            curl_multi_remove_handle(this->multi, connection->easy());
        this->loadConnections.clear();
        curl_multi_cleanup(this->multi);
    }

    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    [[nodiscard]] LoadResult run()
    {
        const auto start = core::monotonicNow();
        const auto end = start + this->options.timeLimit;
        for (auto& connection : this->loadConnections)
            this->next(*connection);
        int running = 1;
        while (running > 0 && core::monotonicNow() < end) {
            curl_multi_perform(this->multi, &running);
            running += this->collect();
            if (running > 0)
                curl_multi_poll(this->multi, nullptr, 0, pollLimitMs, nullptr);
        }
        this->result.elapsed = core::monotonicNow() - start;
        this->result.unfinished = this->started - this->result.answered - this->result.refused - this->result.lost;
        return std::move(this->result);
    }

private:
    bool next(LoadConnection& connection)
    {
        if (this->started == this->options.requests)
            return false;
        connection.prepare(++this->started);
        curl_multi_add_handle(this->multi, connection.easy());
        return true;
    }

    // Returns the number of requests that were started in place of finished ones.
    int collect()
    {
        int added = 0;
        int remaining = 0;
        while (const auto* message = curl_multi_info_read(this->multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            LoadConnection* connection = nullptr;
            const auto code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &connection);
            connection->finish(code);
            curl_multi_remove_handle(this->multi, connection->easy());
            added += this->next(*connection) ? 1 : 0;
        }
        return added;
    }

    const LoadOptions& options;
    CURLM* multi;
    LoadResult result;
    std::uint64_t openStreams = 0;
    std::uint64_t started = 0;
    std::vector<std::unique_ptr<LoadConnection>> loadConnections;
};

} // namespace

LoadResult runLoad(const LoadOptions& options)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return LoadGenerator(options).run();
}

} // namespace lagoontiller::standins
