#include "settings/GatewaySettings.h"

#include "document/IniText.h"
#include "document/Record.h"
#include "document/SchemaCheck.h"
#include "settings/impl/LogLevels.h"

#include <array>
#include <stdexcept>

namespace lagoontiller::settings {

namespace {

using document::Field;
using document::Record;
using document::SectionRule;
using document::ValueType;
using enum document::Occurrence;
using enum document::Presence;

constexpr Field addressField(std::string_view key, std::string_view help)
{
    return { .key = key, .type = ValueType::Address, .presence = Required, .help = help };
}

constexpr Field textField(std::string_view key, std::string_view help)
{
    return { .key = key, .type = ValueType::Text, .presence = Required, .help = help };
}

constexpr Field numberField(std::string_view key, std::string_view defaultValue, double maximum, std::string_view help)
{
    return { .key = key,
        .type = ValueType::Decimal,
        .defaultValue = defaultValue,
        .minimum = 0,
        .maximum = maximum,
        .help = help };
}

constexpr std::array nodeFields {
    textField("name", "Name of this VM."),
    textField("zone", "Availability zone of this VM."),
    textField("region", "Region of this VM."),
    Field { .key = "log_level",
        .type = ValueType::Choice,
        .defaultValue = "info",
        .choices = "debug|info|warning|error",
        .help = "Minimum level of the events that are logged." },
};

constexpr std::array zoneFields {
    textField("region", "Region of the availability zone."),
};

constexpr std::array listenFields {
    addressField("caller_address", "Listen address for callers (HTTP)."),
    addressField("ready_address", "Listen address for readiness checks of the platform (HTTP)."),
    addressField("entry_address", "Listen address for callers that look up which address to use (HTTP)."),
    addressField("metrics_address", "Listen address for metrics (HTTP)."),
    addressField("peer_address", "Listen address for other nodes (HTTP with protobuf bodies)."),
};

constexpr std::array storeFields {
    addressField("address", "Row store of the platform."),
    numberField("row_bytes", "65536", 16'777'216, "Maximum size of an encoded row value in bytes."),
};

constexpr std::array limitFields {
    numberField("memory_mb", "120", 1'048'576, "Memory limit of the process in MB."),
    numberField("stop_grace_s", "8", 3'600, "Seconds from SIGTERM to SIGKILL."),
    numberField("entry_validity_s", "2", 3'600,
        "Maximum time in seconds for which callers may cache a response of entry_address; more than 1 counts as 1."),
    numberField("long_prompt_tokens", "0", 1'000'000,
        "Uncached tokens from which nodes tell each other of a prompt, to place calls by what the engines have to "
        "read; "
        "0 to place calls without regard to it."),
    Field { .key = "max_connections",
        .type = ValueType::Decimal,
        .defaultValue = "4000",
        .minimum = 16,
        .maximum = 1'000'000,
        .help = "Connections of callers; fewer where memory_mb or the descriptors of the process allow fewer." },
    Field { .key = "unread_kb",
        .type = ValueType::Decimal,
        .defaultValue = "1024",
        .minimum = 16,
        .maximum = 1'048'576,
        .help = "Output in kB that a connection's caller has not read at which its stream is read no further." },
    numberField("upload_stall_ms", "1000", 3'600'000,
        "Milliseconds without a byte after which an incomplete request is refused when others need its memory."),
};

constexpr std::array accountFields {
    numberField("revocation_ms", "0", 3'600'000,
        "Milliseconds after the acknowledgement of a configuration after which no call may run on a key that it lacks; "
        "0 "
        "for no bound."),
    numberField("quota_window_s", "5", 3'600, "Length of the sliding window for the rates of accounts, in seconds."),
    numberField("quota_overshoot", "0.1", 10, "Part of its limit by which an account may exceed it in a window."),
    numberField("quota_slack", "20", 1'000'000, "Calls by which an account may exceed its limit in a window besides."),
};

constexpr std::array gatewayFields {
    Field { .key = "table_parts",
        .type = ValueType::Integer,
        .defaultValue = "16",
        .minimum = 16,
        .maximum = 1'024,
        .help = "Table parts over which rows of budgets, turns and streams are spread; the first node that starts "
                "records it, and all others use what is recorded." },
};

constexpr std::array sectionRules {
    SectionRule { "node", Once, true, "This process.", nodeFields },
    SectionRule { "zone", NamedAtLeastOnce, true, "An availability zone of the deployment.", zoneFields },
    SectionRule { "listen", Once, true, "Addresses of this process.", listenFields },
    SectionRule { "store", Once, true, "Store of the platform.", storeFields },
    SectionRule { "limits", AtMostOnce, true, "Limits of this process.", limitFields },
    SectionRule { "accounts", AtMostOnce, true, "Bounds for keys and rates of client accounts.", accountFields },
    SectionRule { "gateway", AtMostOnce, true, "What all nodes of the deployment have in common.", gatewayFields },
};

/// \brief Parses the value of a validated address key.
document::Address toAddress(const Record& record, std::string_view key)
{
    const auto address = document::parseAddress(record.text(key));
    if (!address)
        throw std::logic_error("a validated address cannot be parsed");
    return *address;
}

/// \brief Converts a decimal number of seconds.
core::Duration toDuration(const Record& record, std::string_view key)
{
    return core::Duration(static_cast<std::int64_t>(record.decimal(key) * 1'000'000));
}

std::map<std::string, std::string> regionsByZone(const std::vector<Record>& records)
{
    std::map<std::string, std::string> zones;
    for (const auto& record : records) {
        if (record.kind() == "zone")
            zones.emplace(record.name(), record.text("region"));
    }
    return zones;
}

} // namespace

const document::Schema& gatewaySchema() noexcept
{
    static constexpr document::Schema schema(sectionRules);
    return schema;
}

GatewayParseResult parseGateway(std::string_view input)
{
    const auto ini = document::readIni(input);
    auto faults = ini.faults;
    const auto records = document::checkSchema(gatewaySchema(), ini, faults);
    const auto section
        = [&records](std::string_view kind) { return document::firstOfKind(records, *gatewaySchema().find(kind)); };
    const auto node = section("node");
    document::sortByPosition(faults);
    if (!faults.empty())
        return { nullptr, std::move(faults) };
    const auto listen = section("listen");
    const auto store = section("store");
    const auto limits = section("limits");
    const auto accounts = section("accounts");
    constexpr double bytesPerMegabyte = 1e6;
    constexpr double bytesPerKilobyte = 1'024;
    const auto revocation = core::Duration(static_cast<std::int64_t>(accounts.decimal("revocation_ms") * 1'000));
    const GatewaySettings settings { node.text("name"), node.text("zone"), node.text("region"), regionsByZone(records),
        parseLogLevel(node.text("log_level")), toAddress(listen, "caller_address"), toAddress(listen, "ready_address"),
        toAddress(listen, "entry_address"), toAddress(listen, "metrics_address"), toAddress(listen, "peer_address"),
        toAddress(store, "address"), static_cast<std::size_t>(store.decimal("row_bytes")),
        static_cast<std::size_t>(limits.decimal("memory_mb") * bytesPerMegabyte), toDuration(limits, "stop_grace_s"),
        toDuration(limits, "entry_validity_s"),
        revocation > core::Duration::zero() ? std::optional(revocation) : std::nullopt,
        { toDuration(accounts, "quota_window_s"), accounts.decimal("quota_overshoot"),
            accounts.decimal("quota_slack") },
        static_cast<std::uint64_t>(limits.decimal("long_prompt_tokens")),
        { static_cast<std::size_t>(limits.decimal("max_connections")),
            static_cast<std::size_t>(limits.decimal("unread_kb") * bytesPerKilobyte),
            core::Duration(static_cast<std::int64_t>(limits.decimal("upload_stall_ms") * 1'000)) },
        static_cast<std::uint64_t>(section("gateway").integer("table_parts")) };
    return { std::make_shared<const GatewaySettings>(settings), {} };
}

} // namespace lagoontiller::settings
