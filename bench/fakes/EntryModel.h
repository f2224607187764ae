#pragma once

#include "bench/fakes/ServiceModel.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace lagoontiller::fakes {

/// \brief Answer of the entry model: an HTTP status and a JSON body.
struct EntryReply {
    int status = 200;
    nlohmann::json body;
};

/// \brief Minimal model of the caller interface, for tests of the replay and the load generator without a server.
///
/// It keeps histories, stored turns and calls by key, and limits turns and tokens by customer. It is no model of the
/// scheduler: it has one state for all entries and answers at once. Several threads may use it.
class EntryModel {
public:
    /// \brief `classes` has the form of a trace's first line; `customers` maps customers to classes.
    EntryModel(nlohmann::json classes, nlohmann::json customers);

    /// \brief Answers a turn in whole form. `append` adds `messages` to the stored history.
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

/// \brief Refusal body of section 6 of the design page with the status of the code.
[[nodiscard]] EntryReply refusalReply(int code, const std::string& name, int status, const std::string& ran);

} // namespace lagoontiller::fakes
