#pragma once

#include "document/Document.h"

#include <rapidcheck.h>
#include <string>
#include <vector>

namespace lagoontiller::support {

/// \brief A line `key = value` that is present in some of the generated texts only.
inline std::string maybeLine(const std::string& key, const std::vector<std::string>& values)
{
    if (*rc::gen::arbitrary<bool>())
        return {};
    return key + " = " + *rc::gen::elementOf(values) + '\n';
}

/// \brief Text of a random document without faults. Texts share names, so that two of them have common sections.
inline std::string documentText()
{
    const auto count = [](int least, int most) { return *rc::gen::inRange(least, most + 1); };
    std::string text
        = "[deployment]\nname = " + *rc::gen::elementOf(std::vector<std::string> { "Small", "Stór # 2" }) + '\n';
    text += maybeLine("currency", { "ms", "euro;cent" });
    const int regions = count(1, 3);
    const int services = count(1, 3);
    int port = 1000;
    const auto vm = [&](const std::string& name, int region) {
        return "[vm " + name + "]\naddress = 127.0.0.1:" + std::to_string(++port) + "\nzone = z"
            + std::to_string(region) + '\n';
    };
    for (int region = 0; region < regions; ++region) {
        const auto index = std::to_string(region);
        text += "[region r" + index + "]\n[zone z" + index + "]\nregion = r" + index + '\n';
        text += vm("entry" + index, region) + "role=entry\n";
    }
    for (int service = 0; service < services; ++service) {
        const auto index = std::to_string(service);
        for (int i = 0, endpoints = count(1, 2); i < endpoints; ++i)
            text += vm("e" + index + "-" + std::to_string(i), count(0, regions - 1)) + "role: endpoint\nservice = s"
                + index + '\n';
        text += "  [service s" + index + "]\n";
        text += *rc::gen::arbitrary<bool>() ? "kind = model\nmodels = m\n" : "kind = tool ; calls\n";
        text += maybeLine("repeatable", { "true", "false" });
        text += maybeLine("non_repeatable_paths", { "/a", "/a, /b=c" });
        text += maybeLine("timeout_ms", { "1", "0030000", "3600000" });
        text += maybeLine("latency_weight", { "1", "0.25", "1e-3" });
    }
    text += "[model m]\nversion = " + *rc::gen::elementOf(std::vector<std::string> { "1", "2=b: c" })
        + "\ncontext_tokens = 100\n";
    text += maybeLine("adapters", { "x", "x , y" });
    for (int i = 0, customers = count(1, 3); i < customers; ++i) {
        text += "[customer c" + std::to_string(i) + "]\nkey_salt = 000102030405060708090A0B0C0D0E0F\nkey_hash = "
            + std::string(64, *rc::gen::elementOf(std::string("0aF"))) + "\nclasses = slow\n";
        text += maybeLine("share", { "2", "0.5", "1000" });
    }
    text += "[class slow]\nmax_wall_seconds = 604800\n" + maybeLine("priority", { "0", "9" });
    text += *rc::gen::arbitrary<bool>() ? "[limits]\n" + maybeLine("max_queue", { "1", "77" }) : "";
    return text;
}

/// \brief A random document; fails the property when the generated text has faults.
inline std::shared_ptr<const document::Document> generatedDocument()
{
    const auto text = documentText();
    auto parsed = document::parse(text);
    for (const auto& fault : parsed.faults)
        RC_LOG() << document::format(fault, "generated") << '\n';
    RC_ASSERT(parsed.document != nullptr);
    return parsed.document;
}

} // namespace lagoontiller::support
