#pragma once

#include "callers/HttpServer.h"
#include "core/Encoding.h"
#include "operators/FormData.h"
#include "support/FakeTable.h"

#include <asio.hpp>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lagoontiller::tests {

/// \brief A loopback address that nothing listens on.
inline std::string freeAddress()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// \brief A table service over HTTP with the rows of a FakeTable.
class TableServer {
public:
    TableServer()
        : address(freeAddress())
        , server({ .address = this->address, .threads = 1 }, [this](const auto& request, const auto& response) {
            const std::lock_guard lock(this->mutex);
            this->handle(request, response);
        })
    {
        if (!this->server.start())
            throw std::runtime_error("the table server does not start");
    }

    /// \brief Transactions to answer with a status that says nothing about their outcome.
    void loseReplies(int count, bool takeEffect)
    {
        const std::lock_guard lock(this->mutex);
        this->lostReplies = count;
        this->lostTakeEffect = takeEffect;
    }

    /// \brief Answers every request with 503 while set.
    void setDown(bool down)
    {
        const std::lock_guard lock(this->mutex);
        this->isDown = down;
    }

    const std::string address;

private:
    using json = nlohmann::json;

    void handle(const callers::IncomingRequest& request, const callers::ResponseStreamPointer& response)
    {
        if (this->isDown)
            return response->respond(503, {}, "{}");
        if (request.method == "POST")
            return this->transact(json::parse(request.body), response);
        const auto query = *operators::parseForm(operators::queryString(request.target));
        if (query.value("prefix").empty()) {
            const auto row = this->table.read(query.value("key"));
            return row ? response->respond(200, {}, rowJson(*row).dump()) : response->respond(404, {}, "{}");
        }
        state::ScanRows scan;
        scan.prefix = query.value("prefix");
        scan.after = query.value("after");
        scan.limit = static_cast<decltype(scan.limit)>(operators::parseUnsigned(query.value("limit")));
        auto rows = json::array();
        for (const auto& row : this->table.scan(scan))
            rows.push_back(rowJson(row));
        response->respond(200, {}, json { { "rows", rows } }.dump());
    }

    void transact(const json& body, const callers::ResponseStreamPointer& response)
    {
        tables::Transaction transaction;
        for (const auto& each : body["conditions"])
            transaction.conditions.push_back({ each["key"], each["version"] });
        for (const auto& each : body["puts"])
            transaction.puts.push_back({ each["key"], *core::decodeBase64(each["value"].get<std::string>()) });
        const bool isLost = this->lostReplies > 0;
        if (isLost)
            --this->lostReplies;
        if (isLost && !this->lostTakeEffect)
            return response->respond(500, {}, "");
        const auto reply = this->table.commit(transaction);
        if (isLost)
            return response->respond(500, {}, "");
        const json answer { { "committed", reply.committed }, { "versions", reply.versions },
            { "failed", reply.failed } };
        response->respond(reply.committed ? 200 : 409, {}, answer.dump());
    }

    static json rowJson(const tables::Row& row)
    {
        return { { "key", row.key }, { "version", row.version }, { "value", core::encodeBase64(row.value) } };
    }

    std::mutex mutex;
    FakeTable table;
    int lostReplies = 0;
    bool lostTakeEffect = false;
    bool isDown = false;
    callers::HttpServer server;
};

} // namespace lagoontiller::tests
