#pragma once

#include "http/Client.h"

#include <curl/curl.h>

namespace lagoontiller::http::impl {

/// \brief One libcurl easy handle with its progress.
class Transfer {
public:
    Transfer(RequestId id, Request request, Client::Handler handler, core::TimePoint now);
    ~Transfer();
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    [[nodiscard]] CURL* handle() const noexcept { return this->easyHandle; }
    [[nodiscard]] RequestId id() const noexcept { return this->requestId; }

    /// \brief The limit that has passed at `now`, if any.
    [[nodiscard]] std::optional<FailureKind> exceededTimeout(core::TimePoint now) const noexcept;

    void finish(CURLcode result);
    void fail(FailureKind kind, std::string message);

private:
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* userData);
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* userData);
    void configure();
    void deliverHead();
    [[nodiscard]] FailureKind failureKindFor(CURLcode result) const;

    RequestId requestId;
    Request request;
    Client::Handler handler;
    CURL* easyHandle;
    curl_slist* headerList = nullptr;
    ResponseHead head;
    core::TimePoint startTime;
    core::TimePoint lastActivity;
    bool responseStarted = false;
    bool headDelivered = false;
    bool ended = false;
};

} // namespace lagoontiller::http::impl
