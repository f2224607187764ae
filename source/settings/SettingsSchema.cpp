#include "settings/Settings.h"

#include <array>

namespace lagoontiller::settings {

namespace {

using document::Field;
using document::SectionRule;
using document::ValueType;
using document::Visibility;
using enum document::Occurrence;
using enum document::Presence;

constexpr Field addressField(std::string_view key, std::string_view help)
{
    return { .key = key, .type = ValueType::Address, .presence = Required, .help = help };
}

constexpr Field countField(std::string_view key, std::string_view defaultValue, double maximum, std::string_view help)
{
    return { .key = key,
        .type = ValueType::Integer,
        .defaultValue = defaultValue,
        .minimum = 1,
        .maximum = maximum,
        .help = help };
}

constexpr std::array nodeFields {
    Field { .key = "name", .type = ValueType::Name, .presence = Required, .help = "Name of this VM in the document." },
    Field { .key = "zone", .type = ValueType::Name, .presence = Required, .help = "Availability zone of this VM." },
    Field { .key = "region", .type = ValueType::Name, .presence = Required, .help = "Region of this VM." },
    addressField("caller_address", "Listen address for callers (HTTP)."),
    addressField("operator_address", "Listen address of the console and the operator API (HTTP)."),
    Field { .key = "operator_allow_remote",
        .type = ValueType::Boolean,
        .defaultValue = "false",
        .help
        = "Whether operator_address may be other than loopback. There is no TLS: anyone on the network path can read "
          "the operator key. Use it only on an encrypted network; prefer an SSH tunnel to a loopback address." },
    addressField("node_address", "Listen address for other nodes (ZeroMQ)."),
    Field { .key = "seeds",
        .type = ValueType::AddressList,
        .help = "Addresses of the nodes that this node contacts first when it starts." },
    countField("traffic_threads", "2", 64, "Number of threads that handle the connections of callers."),
    Field { .key = "log_level",
        .type = ValueType::Choice,
        .defaultValue = "info",
        .choices = "debug|info|warning|error",
        .help = "Minimum level of the events that are logged." },
};

constexpr std::array platformFields {
    addressField("table_address", "Transactional table service."),
    addressField("object_address", "Object store."),
    addressField("vm_list_address", "VM list."),
    addressField("weight_store_address", "Weight store."),
    countField(
        "store_writes_per_second", "200", 100'000, "Maximum write transactions per second of the whole deployment."),
};

constexpr std::array deploymentFields {
    countField("partitions", "256", 65'536, "Number of partitions of the program space; must be equal on all nodes."),
    Field { .key = "regions",
        .type = ValueType::NameList,
        .presence = Required,
        .help = "All regions of the deployment. They determine the partition of a program, so they must be equal on "
                "all nodes and never change." },
    countField("commit_streams", "12", 1024, "Number of commit streams of the whole deployment."),
};

constexpr std::array keysFields {
    Field { .key = "deployment_public_key",
        .type = ValueType::Z85Key,
        .presence = Required,
        .help = "CURVE public key of the deployment; the same on all nodes." },
    Field { .key = "deployment_secret_key",
        .type = ValueType::Z85Key,
        .presence = Required,
        .help = "CURVE secret key of the deployment; the same on all nodes.",
        .visibility = Visibility::Redacted },
    Field { .key = "operator_key_salt",
        .type = ValueType::Hex,
        .presence = Required,
        .minimum = 16,
        .maximum = 64,
        .help = "Salt of the operator key, as printed by lagoontiller hash-key.",
        .visibility = Visibility::Redacted },
    Field { .key = "operator_key_hash",
        .type = ValueType::Hex,
        .presence = Required,
        .minimum = 32,
        .maximum = 32,
        .help = "Hash of the operator key, as printed by lagoontiller hash-key.",
        .visibility = Visibility::Redacted },
};

constexpr std::array sectionRules {
    SectionRule { "node", Once, true, "This process.", nodeFields },
    SectionRule { "platform", Once, true, "Services of the platform.", platformFields },
    SectionRule { "deployment", Once, true, "Values that must be equal on all nodes.", deploymentFields },
    SectionRule { "keys", Once, true, "Keys of the connections between nodes and of operators.", keysFields },
};

constexpr document::Schema schema { sectionRules };

} // namespace

const document::Schema& settingsSchema() noexcept
{
    return schema;
}

} // namespace lagoontiller::settings
