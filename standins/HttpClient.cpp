#include "standins/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <stdexcept>

namespace lagoontiller::standins {

namespace {

constexpr long connectLimitSeconds = 2;

void initialiseCurl()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK)
        throw std::runtime_error("curl_global_init() failed");
}

std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* user)
{
    static_cast<ClientResponse*>(user)->body.append(data, size * count);
    return size * count;
}

std::size_t addHeader(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& response = *static_cast<ClientResponse*>(user);
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return size * count;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    response.headers[name] = first == std::string::npos || last < first ? "" : line.substr(first, last - first + 1);
    return size * count;
}

} // namespace

class HttpClient::Implementation {
public:
    Implementation()
    {
        initialiseCurl();
        this->handle = curl_easy_init();
        if (this->handle == nullptr)
            throw std::runtime_error("curl_easy_init() failed");
    }

    ~Implementation() { curl_easy_cleanup(this->handle); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    CURL* handle = nullptr;
};

HttpClient::HttpClient()
    : implementation(std::make_unique<Implementation>())
{
}

HttpClient::~HttpClient() = default;

ClientResponse HttpClient::send(const ClientRequest& request)
{
    ClientResponse response;
    auto* handle = this->implementation->handle;
    // Resets all options but keeps open connections.
    curl_easy_reset(handle);
    curl_slist* fields = curl_slist_append(nullptr, "Expect:");
    for (const auto& field : request.headers)
        fields = curl_slist_append(fields, field.c_str());
    const auto url = "http://" + request.address + request.target;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method != "GET") {
        // libcurl automatically resends a request, even a POST, when a reused connection is closed without an answer.
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, fields);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT, connectLimitSeconds);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, static_cast<long>(request.totalLimit.count()));
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME, static_cast<long>(request.silenceLimit.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, addHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response);
    const auto result = curl_easy_perform(handle);
    curl_slist_free_all(fields);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    response.complete = result == CURLE_OK;
    if (!response.complete)
        response.error = curl_easy_strerror(result);
    return response;
}

std::string encodePathPart(const std::string& text)
{
    static constexpr const char* digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
            result += c;
            continue;
        }
        result += '%';
        result += digits[byte >> 4];
        result += digits[byte & 15];
    }
    return result;
}

} // namespace lagoontiller::standins
