#pragma once

#include "callers/HttpServer.h"
#include "control/DocumentRepository.h"
#include "operators/Console.h"
#include "operators/OperatorApi.h"
#include "support/TableServer.h"

#include <atomic>
#include <thread>

namespace lagoontiller::tests {

/// \brief Console and operator API of one node over HTTP, with a table service of its own and a clock set by the test.
class OperatorServer {
public:
    static constexpr auto key = "operator.test-key";

    explicit OperatorServer(nlohmann::json status = nlohmann::json::object())
        : address(freeAddress())
        , tables(this->client, this->table.address)
        , keeper(this->context, this->tables, [](const control::DocumentInForce&) {})
        , api(this->keeper, keyHash(), [status] { return status; })
        , console(
              this->keeper, keyHash(), [status] { return status; },
              [this] { return core::TimePoint(core::Duration(this->now.load())); })
        , server({ .address = this->address, .threads = 1 },
              [this](callers::IncomingRequest request, callers::ResponseStreamPointer response) {
                  asio::post(this->context, [this, request = std::move(request), response = std::move(response)] {
                      if (operators::Console::serves(request.target))
                          this->console.handle(request, response);
                      else
                          this->api.handle(request, response);
                  });
              })
        , work(asio::make_work_guard(this->context))
        , thread([this] { this->context.run(); })
    {
        if (!this->server.start())
            throw std::runtime_error("the operator server does not start");
    }

    ~OperatorServer()
    {
        this->server.stop();
        this->context.stop();
        this->thread.join();
    }

    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    void advance(core::Duration duration) { this->now += duration.count(); }

    const std::string address;
    TableServer table;

private:
    static document::KeyHash keyHash()
    {
        const std::string salt(32, '7');
        return { salt, document::hashKey(salt, key) };
    }

    std::atomic<core::Duration::rep> now { 1'000'000 };
    asio::io_context context;
    http::Client client;
    tables::TableClient tables;
    control::DocumentRepository keeper;
    operators::OperatorApi api;
    operators::Console console;
    callers::HttpServer server;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace lagoontiller::tests
