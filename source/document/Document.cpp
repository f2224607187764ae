#include "document/Document.h"

#include "document/impl/RecordValues.h"

#include <algorithm>

namespace lagoontiller::document {

namespace {

template <typename Named> const Named* findByName(const std::vector<Named>& sorted, std::string_view name) noexcept
{
    const auto found = std::lower_bound(sorted.begin(), sorted.end(), name,
        [](const Named& each, std::string_view wanted) { return each.name < wanted; });
    return found == sorted.end() || found->name != name ? nullptr : &*found;
}

VmRole roleOf(const Record& record)
{
    return record.text("role") == "entry" ? VmRole::Entry : VmRole::Endpoint;
}

ServiceKind serviceKindOf(const Record& record)
{
    const auto kind = record.text("kind");
    if (kind == "model")
        return ServiceKind::Model;
    return kind == "tool" ? ServiceKind::Tool : ServiceKind::Plain;
}

Service serviceOf(const Record& record)
{
    return {
        .name = record.name(),
        .kind = serviceKindOf(record),
        .models = record.list("models"),
        .regions = record.list("regions"),
        .repeatable = record.boolean("repeatable"),
        .nonRepeatablePaths = record.list("non_repeatable_paths"),
        .checksFencing = record.boolean("checks_fencing"),
        .timeoutMs = record.integer("timeout_ms"),
        .latencyWeight = record.decimal("latency_weight"),
        .wastedCacheWeight = record.decimal("wasted_cache_weight"),
    };
}

Customer customerOf(const Record& record)
{
    return {
        .name = record.name(),
        .key = { record.text("key_salt"), record.text("key_hash") },
        .share = record.decimal("share"),
        .maxConcurrent = record.integer("max_concurrent"),
        .classes = record.list("classes"),
    };
}

ProgramClass programClassOf(const Record& record)
{
    return {
        .name = record.name(),
        .priority = record.integer("priority"),
        .maxTurns = record.integer("max_turns"),
        .maxCalls = record.integer("max_calls"),
        .maxTokens = record.integer("max_tokens"),
        .maxWallSeconds = record.integer("max_wall_seconds"),
    };
}

Limits limitsOf(const Record& record)
{
    return {
        .maxBodyBytes = record.integer("max_body_bytes"),
        .maxQueue = record.integer("max_queue"),
        .streamSilenceMs = record.integer("stream_silence_ms"),
    };
}

// The section of a kind that occurs at most once; defaults if it is absent.
Record singleRecord(const std::vector<Record>& records, std::string_view kind)
{
    return firstOfKind(records, *documentSchema().find(kind));
}

} // namespace

bool Service::mayRepeat(std::string_view path) const
{
    if (!this->repeatable)
        return false;
    const auto& paths = this->nonRepeatablePaths;
    return std::find(paths.begin(), paths.end(), path.substr(0, path.find('?'))) == paths.end();
}

Document::Document(const std::vector<Record>& records)
    : deploymentName(singleRecord(records, "deployment").text("name"))
    , weightCurrency(singleRecord(records, "deployment").text("currency"))
    , nodeLimits(limitsOf(singleRecord(records, "limits")))
    , allValues(valuesOf(documentSchema(), records))
{
    for (const auto* record : sortedOfKind(records, "region"))
        this->allRegions.push_back({ record->name() });
    for (const auto* record : sortedOfKind(records, "zone"))
        this->allZones.push_back({ record->name(), record->text("region") });
    for (const auto* record : sortedOfKind(records, "vm")) {
        const auto zoneName = record->text("zone");
        this->allVms.push_back({ record->name(), record->text("address"), zoneName, this->zone(zoneName)->region,
            roleOf(*record), record->text("service") });
    }
    for (const auto* record : sortedOfKind(records, "service"))
        this->allServices.push_back(serviceOf(*record));
    for (const auto* record : sortedOfKind(records, "model")) {
        this->allModels.push_back(
            { record->name(), record->text("version"), record->list("adapters"), record->integer("context_tokens") });
    }
    for (const auto* record : sortedOfKind(records, "customer")) {
        this->customerIndex.emplace(record->name(), this->allCustomers.size());
        this->allCustomers.push_back(customerOf(*record));
    }
    for (const auto* record : sortedOfKind(records, "class"))
        this->allClasses.push_back(programClassOf(*record));
}

const Region* Document::region(std::string_view name) const noexcept
{
    return findByName(this->allRegions, name);
}

const Zone* Document::zone(std::string_view name) const noexcept
{
    return findByName(this->allZones, name);
}

const Vm* Document::vm(std::string_view name) const noexcept
{
    return findByName(this->allVms, name);
}

const Service* Document::service(std::string_view name) const noexcept
{
    return findByName(this->allServices, name);
}

const Model* Document::model(std::string_view name) const noexcept
{
    return findByName(this->allModels, name);
}

const Customer* Document::customer(std::string_view name) const noexcept
{
    return findByName(this->allCustomers, name);
}

const ProgramClass* Document::programClass(std::string_view name) const noexcept
{
    return findByName(this->allClasses, name);
}

const Customer* customerOfKey(const Document& document, std::string_view key)
{
    static const KeyHash dummyKeyHash { std::string(32, '0'), std::string(64, '0') };
    const auto found = document.customerIndex.find(std::string(key.substr(0, key.find('.'))));
    const Customer* const customer
        = found == document.customerIndex.end() ? nullptr : &document.allCustomers[found->second];
    const bool matches = matchesKey(customer == nullptr ? dummyKeyHash : customer->key, key);
    return matches ? customer : nullptr;
}

} // namespace lagoontiller::document
