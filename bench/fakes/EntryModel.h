#pragma once

#include "bench/fakes/ServiceModel.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace lagoontiller::fakes {

/// \brief HTTP status and JSON body of a response.
struct EntryReply {
    int status = 200;
    nlohmann::json body;
};

/// \brief Minimal model of the caller interface, for testing the replay and the load generator without a server.
///
/// Keeps histories, stored turns and calls by key, and enforces turn and token limits per customer. It does not model
/// scheduling: all entry nodes share one state, and answers have no delay. Thread-safe.
class EntryModel {
public:
    /// \brief `classes` has the format of `classes` in the first line of a trace; `customers` maps customers to
    /// classes.
    EntryModel(nlohmann::json classes, nlohmann::json customers);

    /// \brief Answers a turn without streaming. With `append`, `messages` extend the stored history.
    [[nodiscard]] EntryReply turn(const std::string& customer, const std::string& program, std::uint64_t number,
        bool append, const nlohmann::json& body);
    [[nodiscard]] EntryReply storedTurn(const std::string& program, std::uint64_t number) const;
    [[nodiscard]] EntryReply call(const std::string& key, const std::string& path, const std::string& body);
    [[nodiscard]] EntryReply storedCall(const std::string& key) const;
    [[nodiscard]] EntryReply end(const std::string& program);
    [[nodiscard]] std::vector<LedgerEntry> ledger() const;

private:
    struct Program {
        nlohmann::json history = nlohmann::json::array();
        std::map<std::uint64_t, nlohmann::json> answers;
        std::uint64_t tokens = 0;
        bool ended = false;
    };

    [[nodiscard]] std::uint64_t limit(const std::string& customer, const char* name) const;

    mutable std::mutex mutex;
    nlohmann::json classes;
    nlohmann::json customers;
    std::map<std::string, Program> programs;
    std::map<std::string, nlohmann::json> calls;
    ServiceModel service;
};

/// \brief Builds an error body as defined in section 6 of the design page.
[[nodiscard]] EntryReply refusalReply(int code, const std::string& name, int status, const std::string& ran);

} // namespace lagoontiller::fakes
