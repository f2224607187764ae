#pragma once

#include "document/Fault.h"
#include "document/Record.h"
#include "document/Values.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoontiller::document {

/// \brief One value of a document in canonical form. An empty key stands for the presence of the section.
struct DocumentValue {
    std::string section;
    std::string key;
    std::string value;
    [[nodiscard]] bool operator==(const DocumentValue&) const = default;
};

/// \brief The operator document: immutable values without faults. Share it as `std::shared_ptr<const Document>`.
///
/// All lists are in ascending order of names.
class Document {
public:
    /// \brief Takes records that passed every check; `parse` is the way to make a document from a text.
    explicit Document(const std::vector<Record>& records);

    [[nodiscard]] const std::string& name() const noexcept { return this->deploymentName; }
    [[nodiscard]] const std::string& currency() const noexcept { return this->weightCurrency; }
    [[nodiscard]] const std::vector<Region>& regions() const noexcept { return this->allRegions; }
    [[nodiscard]] const std::vector<Zone>& zones() const noexcept { return this->allZones; }
    [[nodiscard]] const std::vector<Vm>& vms() const noexcept { return this->allVms; }
    [[nodiscard]] const std::vector<Service>& services() const noexcept { return this->allServices; }
    [[nodiscard]] const std::vector<Model>& models() const noexcept { return this->allModels; }
    [[nodiscard]] const std::vector<Customer>& customers() const noexcept { return this->allCustomers; }
    [[nodiscard]] const std::vector<ProgramClass>& classes() const noexcept { return this->allClasses; }
    [[nodiscard]] const Limits& limits() const noexcept { return this->nodeLimits; }

    /// \brief Lookups by name in logarithmic time; null when there is none.
    [[nodiscard]] const Region* region(std::string_view name) const noexcept;
    [[nodiscard]] const Zone* zone(std::string_view name) const noexcept;
    [[nodiscard]] const Vm* vm(std::string_view name) const noexcept;
    [[nodiscard]] const Service* service(std::string_view name) const noexcept;
    [[nodiscard]] const Model* model(std::string_view name) const noexcept;
    [[nodiscard]] const Customer* customer(std::string_view name) const noexcept;
    [[nodiscard]] const ProgramClass* programClass(std::string_view name) const noexcept;

    /// \brief All values in canonical form, in the order of the schema and of names; defaults are filled in.
    [[nodiscard]] const std::vector<DocumentValue>& values() const noexcept { return this->allValues; }

    [[nodiscard]] bool operator==(const Document& other) const { return this->allValues == other.allValues; }

private:
    friend const Customer* customerOfKey(const Document& document, std::string_view key);

    std::string deploymentName;
    std::string weightCurrency;
    std::vector<Region> allRegions;
    std::vector<Zone> allZones;
    std::vector<Vm> allVms;
    std::vector<Service> allServices;
    std::vector<Model> allModels;
    std::vector<Customer> allCustomers;
    std::vector<ProgramClass> allClasses;
    Limits nodeLimits;
    std::vector<DocumentValue> allValues;
    std::unordered_map<std::string, std::size_t> customerIndex;
};

/// \brief The customer whose key this is, or null. One hash-table lookup and one hash, whatever the customer count.
///
/// A key has the form `<customer>.<secret>`. An unknown customer costs the same hash as a known one, so that the
/// response time does not tell which customers exist.
[[nodiscard]] const Customer* customerOfKey(const Document& document, std::string_view key);

/// \brief The document, or null and every fault.
struct ParseResult {
    std::shared_ptr<const Document> document;
    Faults faults;
};

/// \brief Reads and checks any bytes.
[[nodiscard]] ParseResult parse(std::string_view text);

/// \brief INI text in canonical form; `parse` reads it back as an equal document.
[[nodiscard]] std::string print(const Document& document);
[[nodiscard]] std::string print(const std::vector<DocumentValue>& values);

} // namespace lagoontiller::document
