#pragma once

#include "document/Document.h"
#include "document/KeyHash.h"

#include <memory>
#include <stdexcept>
#include <string>

namespace lagoontiller::tests {

/// \brief Values of the operator document that tests of the controller vary.
struct ControlDocumentValues {
    int smallTokens = 4000;
    int smallTurns = 3;
    int smallCalls = 2;
    int shortWallSeconds = 5;
    int streamSilenceMs = 2000;
    int serviceTimeoutMs = 4000;
};

/// \brief Document with two regions, four engines, three tool endpoints and the customers `office` and `workshop`.
inline std::shared_ptr<const document::Document> controlDocument(const ControlDocumentValues& values = {})
{
    std::string text = "[deployment]\nname = Control\n[region east]\n[region west]\n"
                       "[zone east-a]\nregion = east\n[zone west-a]\nregion = west\n";
    const auto vm = [&](const std::string& name, int port, const std::string& zone, const std::string& service) {
        text += "[vm " + name + "]\naddress = 127.0.0.1:" + std::to_string(port) + "\nzone = " + zone;
        text += service.empty() ? "\nrole = entry\n" : "\nrole = endpoint\nservice = " + service + "\n";
    };
    vm("entry-1", 8101, "east-a", "");
    for (int index = 1; index <= 4; ++index)
        vm("engine-" + std::to_string(index), 9100 + index, index % 2 == 1 ? "east-a" : "west-a", "wording");
    for (int index = 1; index <= 3; ++index)
        vm("orders-" + std::to_string(index), 9200 + index, index % 2 == 1 ? "east-a" : "west-a", "orders");
    const auto timeout = "timeout_ms = " + std::to_string(values.serviceTimeoutMs) + "\n";
    text += "[service wording]\nkind = model\nmodels = small-model\nregions = east, west\n" + timeout;
    text += "[service orders]\nkind = tool\nrepeatable = true\nnon_repeatable_paths = /charges/take\n" + timeout;
    text += "[model small-model]\nversion = 1\ncontext_tokens = 2048\n";
    for (const std::string customer : { "office", "workshop" }) {
        const std::string salt = "000102030405060708090a0b0c0d0e0f";
        text += "[customer " + customer + "]\nkey_salt = " + salt
            + "\nkey_hash = " + document::hashKey(salt, customer + ".secret")
            + "\nclasses = standard, small, short\nmax_concurrent = 1000\n";
    }
    text += "[class standard]\npriority = 6\nmax_turns = 440\nmax_calls = 400\nmax_tokens = 600000\n"
            "max_wall_seconds = 7200\n";
    text += "[class small]\npriority = 5\nmax_turns = " + std::to_string(values.smallTurns)
        + "\nmax_calls = " + std::to_string(values.smallCalls) + "\nmax_tokens = " + std::to_string(values.smallTokens)
        + "\nmax_wall_seconds = 7200\n";
    text += "[class short]\npriority = 5\nmax_turns = 40\nmax_calls = 40\nmax_tokens = 60000\nmax_wall_seconds = "
        + std::to_string(values.shortWallSeconds) + "\n";
    text += "[limits]\nstream_silence_ms = " + std::to_string(values.streamSilenceMs) + "\n";
    const auto parsed = document::parse(text);
    if (!parsed.document)
        throw std::runtime_error(
            parsed.faults.front().section + ": " + parsed.faults.front().key + " " + parsed.faults.front().problem);
    return parsed.document;
}

} // namespace lagoontiller::tests
