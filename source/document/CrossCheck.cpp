#include "document/Check.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace lagoontiller::document {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

bool hasValue(const Record& record, std::string_view key)
{
    return !record.isInvalid(key) && !record.text(key).empty();
}

class CrossChecker {
public:
    CrossChecker(const std::vector<Record>& records, Faults& faults)
        : records(records)
        , faults(faults)
    {
    }

    void check()
    {
        this->collectVms();
        this->checkEntryVms();
        this->minContextTokens = this->minimumOf("model", "context_tokens");
        this->minTimeoutMs = this->minimumOf("service", "timeout_ms");
        for (const auto& record : this->records) {
            if (record.kind() == "vm")
                this->checkVm(record);
            if (record.kind() == "region")
                this->checkRegion(record);
            if (record.kind() == "service")
                this->checkService(record);
            if (record.kind() == "class")
                this->checkClass(record);
        }
    }

private:
    void addFault(const Record& record, std::string_view key, std::string problem, std::string allowed)
    {
        const auto* const value = record.find(key);
        const int line = value == nullptr ? record.line() : value->line;
        const int column = value == nullptr ? record.column() : value->column;
        this->faults.push_back(
            { line, column, record.heading(), std::string(key), std::move(problem), std::move(allowed), "" });
    }

    // Indexes regions by VM and by service, and determines whether an entry VM exists.
    void collectVms()
    {
        std::map<std::string, std::string> regionOfZone;
        std::set<std::string> regions;
        for (const auto& record : this->records) {
            if (record.kind() == "zone")
                regionOfZone.emplace(record.name(), record.text("region"));
            if (record.kind() == "region")
                regions.insert(record.name());
        }
        for (const auto& record : this->records) {
            if (record.kind() != "vm")
                continue;
            const auto region = regionOfZone[record.text("zone")];
            this->allVmRegionsKnown = this->allVmRegionsKnown && regions.contains(region);
            this->regionsWithVms.insert(region);
            this->hasEntryVm = this->hasEntryVm || record.isInvalid("role") || record.text("role") == "entry";
            if (hasValue(record, "service"))
                this->regionsOfService[record.text("service")].insert(region);
        }
    }

    void checkEntryVms()
    {
        const auto isVm = [](const Record& record) { return record.kind() == "vm"; };
        const auto first = std::find_if(this->records.begin(), this->records.end(), isVm);
        if (first != this->records.end() && !this->hasEntryVm)
            this->addFault(*first, "", "no VM has the role entry", "at least one entry VM");
    }

    void checkVm(const Record& record)
    {
        const auto role = record.text("role");
        const bool hasServiceKey = record.find("service") != nullptr;
        if (role == "entry" && hasServiceKey)
            this->addFault(record, "service", "an entry VM runs no service", "the key only with role = endpoint");
        if (role == "endpoint" && !hasServiceKey)
            this->addFault(record, "service", "the key is missing", "the service that the endpoint runs");
        if (!hasValue(record, "address"))
            return;
        const auto [first, inserted] = this->vmOfAddress.emplace(record.text("address"), &record);
        if (!inserted) {
            this->addFault(record, "address",
                record.text("address") + " is also the address of [" + first->second->heading() + "] in line "
                    + std::to_string(first->second->line()),
                "each address once");
        }
    }

    void checkRegion(const Record& record)
    {
        if (this->allVmRegionsKnown && !this->regionsWithVms.contains(record.name()))
            this->addFault(record, "", "the region has no VM", "at least one VM in a zone of each region");
    }

    void checkService(const Record& record)
    {
        this->checkModels(record);
        this->checkWeights(record);
        const auto& regions = this->regionsOfService[record.name()];
        if (regions.empty()) {
            this->addFault(
                record, "", "the service has no endpoint", "at least one VM with service = " + record.name());
            return;
        }
        for (const auto& region : record.list("regions")) {
            if (this->allVmRegionsKnown && !regions.contains(region)) {
                this->addFault(record, "regions", "no endpoint of the service in region " + quoted(region),
                    "regions with a VM that has service = " + record.name());
            }
        }
    }

    void checkModels(const Record& record)
    {
        const bool isModelService = record.text("kind") == "model";
        const bool hasModelsKey = record.find("models") != nullptr;
        if (isModelService && !hasModelsKey)
            this->addFault(record, "models", "the key is missing", "at least one model with kind = model");
        if (hasValue(record, "kind") && !isModelService && hasModelsKey)
            this->addFault(record, "models", "only model services offer models", "the key only with kind = model");
    }

    void checkWeights(const Record& record)
    {
        const bool bothValid = !record.isInvalid("latency_weight") && !record.isInvalid("wasted_cache_weight");
        if (bothValid && record.decimal("latency_weight") == 0 && record.decimal("wasted_cache_weight") == 0)
            this->addFault(record, "latency_weight", "both weights are 0", "at least one weight above 0");
    }

    // Returns the minimum of an integer key over all sections of the kind, or nothing if no section has a valid value.
    [[nodiscard]] std::optional<std::int64_t> minimumOf(std::string_view kind, std::string_view key) const
    {
        std::optional<std::int64_t> result;
        for (const auto& record : this->records) {
            if (record.kind() == kind && !record.isInvalid(key))
                result = std::min(result.value_or(record.integer(key)), record.integer(key));
        }
        return result;
    }

    // A call may use the whole context of its model and run until the timeout of its service. A budget below the
    // smallest of these limits may not suffice for a single call.
    void checkClass(const Record& record)
    {
        if (const auto context = this->minContextTokens;
            context && !record.isInvalid("max_tokens") && record.integer("max_tokens") < *context) {
            this->addFault(record, "max_tokens",
                "the budget of " + record.text("max_tokens") + " tokens is smaller than one call",
                "at least the smallest context_tokens, " + std::to_string(*context));
        }
        if (const auto timeout = this->minTimeoutMs; timeout && !record.isInvalid("max_wall_seconds")
            && record.integer("max_wall_seconds") * millisecondsPerSecond < *timeout) {
            this->addFault(record, "max_wall_seconds",
                "the budget of " + record.text("max_wall_seconds") + " s is smaller than one call",
                "at least the smallest timeout_ms, " + std::to_string(*timeout) + " ms");
        }
    }

    const std::vector<Record>& records;
    Faults& faults;
    std::set<std::string> regionsWithVms;
    std::map<std::string, std::set<std::string>> regionsOfService;
    std::map<std::string, const Record*> vmOfAddress;
    bool hasEntryVm = false;
    // False if the region of a VM is unknown. Regions without VMs are then not reported, because that VM may belong
    // to any of them.
    bool allVmRegionsKnown = true;
    std::optional<std::int64_t> minContextTokens;
    std::optional<std::int64_t> minTimeoutMs;
};

} // namespace

void checkAcrossSections(const std::vector<Record>& records, Faults& faults)
{
    CrossChecker(records, faults).check();
}

} // namespace lagoontiller::document
