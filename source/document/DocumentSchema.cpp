#include "document/Schema.h"

#include <array>

namespace lagoontiller::document {

namespace {

using enum Presence;
using enum Occurrence;

constexpr std::array deploymentFields {
    Field { .key = "name", .type = ValueType::Text, .presence = Required, .help = "Name shown in the console." },
    Field { .key = "currency",
        .type = ValueType::Text,
        .defaultValue = "milliseconds",
        .help = "Unit in which the latency and wasted-cache weights of services are compared." },
};

constexpr std::array<Field, 0> regionFields {};

constexpr std::array zoneFields {
    Field { .key = "region",
        .type = ValueType::Name,
        .presence = Required,
        .refersTo = "region",
        .help = "Region that contains this availability zone." },
};

constexpr std::array vmFields {
    Field { .key = "address",
        .type = ValueType::Address,
        .presence = Required,
        .help = "Address on which the entry node or the endpoint listens." },
    Field { .key = "zone",
        .type = ValueType::Name,
        .presence = Required,
        .refersTo = "zone",
        .help = "Availability zone that contains this VM." },
    Field { .key = "role",
        .type = ValueType::Choice,
        .presence = Required,
        .choices = "entry|endpoint",
        .help = "entry: callers connect to it; endpoint: it runs a service." },
    Field { .key = "service",
        .type = ValueType::Name,
        .refersTo = "service",
        .help = "Service that an endpoint runs; entry VMs have none." },
};

constexpr std::array serviceFields {
    Field { .key = "kind",
        .type = ValueType::Choice,
        .presence = Required,
        .choices = "model|tool|plain",
        .help = "model: engines that generate text; tool: called by programs; plain: any other application." },
    Field { .key = "models",
        .type = ValueType::NameList,
        .refersTo = "model",
        .help = "Models that the engines of a model service offer." },
    Field { .key = "regions",
        .type = ValueType::NameList,
        .refersTo = "region",
        .help = "Regions in which the service must have at least one endpoint; empty: no requirement." },
    Field { .key = "repeatable",
        .type = ValueType::Boolean,
        .defaultValue = "false",
        .help = "Whether calls are idempotent: running a call twice has the same effect as running it once." },
    Field { .key = "non_repeatable_paths",
        .type = ValueType::PathList,
        .help = "Paths whose calls must not be repeated even if the service is repeatable." },
    Field { .key = "checks_fencing",
        .type = ValueType::Boolean,
        .defaultValue = "false",
        .help = "Whether endpoints reject orders with an outdated fencing number." },
    Field { .key = "timeout_ms",
        .type = ValueType::Integer,
        .defaultValue = "30000",
        .minimum = 1,
        .maximum = 3'600'000,
        .help = "Timeout of a call in milliseconds." },
    Field { .key = "latency_weight",
        .type = ValueType::Decimal,
        .defaultValue = "0.5",
        .minimum = 0,
        .maximum = 1,
        .help = "Weight of program latency in endpoint selection." },
    Field { .key = "wasted_cache_weight",
        .type = ValueType::Decimal,
        .defaultValue = "0.5",
        .minimum = 0,
        .maximum = 1,
        .help = "Weight of recomputed prompt tokens and billed bytes in endpoint selection." },
};

constexpr std::array modelFields {
    Field { .key = "version",
        .type = ValueType::Text,
        .presence = Required,
        .help = "Version of the model weights that engines load." },
    Field { .key = "adapters",
        .type = ValueType::NameList,
        .help = "Adapters that engines load in addition to the model." },
    Field { .key = "context_tokens",
        .type = ValueType::Integer,
        .defaultValue = "32768",
        .minimum = 1,
        .maximum = 100'000'000,
        .help = "Maximum number of prompt and generated tokens per call." },
};

constexpr std::array customerFields {
    Field { .key = "key_salt",
        .type = ValueType::Hex,
        .presence = Required,
        .minimum = 16,
        .maximum = 64,
        .help = "Salt of the key hash, as printed by lagoontiller hash-key.",
        .visibility = Visibility::Redacted },
    Field { .key = "key_hash",
        .type = ValueType::Hex,
        .presence = Required,
        .minimum = 32,
        .maximum = 32,
        .help = "Hash of the customer's key, as printed by lagoontiller hash-key.",
        .visibility = Visibility::Redacted },
    Field { .key = "share",
        .type = ValueType::Decimal,
        .defaultValue = "1",
        .minimum = 0.01,
        .maximum = 1000,
        .help = "Share of the capacity relative to the shares of the other customers." },
    Field { .key = "max_concurrent",
        .type = ValueType::Integer,
        .defaultValue = "100",
        .minimum = 1,
        .maximum = 1'000'000,
        .help = "Maximum number of concurrent calls." },
    Field { .key = "classes",
        .type = ValueType::NameList,
        .presence = Required,
        .refersTo = "class",
        .help = "Program classes that the customer may use; the first one is the default." },
};

constexpr std::array classFields {
    Field { .key = "priority",
        .type = ValueType::Integer,
        .defaultValue = "5",
        .minimum = 0,
        .maximum = 9,
        .help = "Scheduling priority of queued calls; 9 is served first." },
    Field { .key = "max_turns",
        .type = ValueType::Integer,
        .defaultValue = "100",
        .minimum = 1,
        .maximum = 100'000,
        .help = "Maximum number of model calls per program." },
    Field { .key = "max_calls",
        .type = ValueType::Integer,
        .defaultValue = "1000",
        .minimum = 1,
        .maximum = 1'000'000,
        .help = "Maximum number of calls per program, including calls of its sub-agents." },
    Field { .key = "max_tokens",
        .type = ValueType::Integer,
        .defaultValue = "600000",
        .minimum = 1,
        .maximum = 1'000'000'000,
        .help = "Maximum number of prompt and generated tokens per program." },
    Field { .key = "max_wall_seconds",
        .type = ValueType::Integer,
        .defaultValue = "3600",
        .minimum = 1,
        .maximum = 604'800,
        .help = "Maximum time in seconds from the first call to the end of a program." },
};

constexpr std::array limitsFields {
    Field { .key = "max_body_bytes",
        .type = ValueType::Integer,
        .defaultValue = "4194304",
        .minimum = 1024,
        .maximum = 67'108'864,
        .help = "Maximum size of a request body in bytes." },
    Field { .key = "max_queue",
        .type = ValueType::Integer,
        .defaultValue = "1000",
        .minimum = 1,
        .maximum = 1'000'000,
        .help = "Maximum number of queued calls per node." },
    Field { .key = "stream_silence_ms",
        .type = ValueType::Integer,
        .defaultValue = "15000",
        .minimum = 100,
        .maximum = 600'000,
        .help = "Maximum time in milliseconds between two chunks before the connection is considered dead." },
};

constexpr std::array rules {
    SectionRule { "deployment", Once, true, "The deployment as a whole.", deploymentFields },
    SectionRule {
        "region", NamedAtLeastOnce, false, "A region; links to other regions are slow and billed.", regionFields },
    SectionRule { "zone", NamedAtLeastOnce, true, "An availability zone.", zoneFields },
    SectionRule { "vm", NamedAtLeastOnce, true, "A VM: an entry node or an endpoint of a service.", vmFields },
    SectionRule { "service", NamedAtLeastOnce, true, "A service that programs call.", serviceFields },
    SectionRule { "model", NamedAnyNumber, true, "A model that model services offer.", modelFields },
    SectionRule { "customer", NamedAtLeastOnce, false, "A customer that authenticates with a key.", customerFields },
    SectionRule { "class", NamedAtLeastOnce, true, "A program class: priority and budget.", classFields },
    SectionRule { "limits", AtMostOnce, true, "Limits that apply to each node.", limitsFields },
};

constexpr Schema schema { rules };

} // namespace

const Schema& documentSchema() noexcept
{
    return schema;
}

} // namespace lagoontiller::document
