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

/// \brief One value of a document in canonical form. An empty key represents the section itself.
struct DocumentValue {
    std::string section;
    std::string key;
    std::string value;
    [[nodiscard]] bool operator==(const DocumentValue&) const = default;
};

/// \brief The operator document: validated and immutable. It is shared as `std::shared_ptr<const Document>`.
///
/// All lists are sorted by name in ascending order.
class Document {
public:
    /// \brief Precondition: the records have passed all checks. Use `parse` to create a document from a text.
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

    /// \brief Lookups by name in logarithmic time. They return null if the name is unknown.
    [[nodiscard]] const Region* region(std::string_view name) const noexcept;
    [[nodiscard]] const Zone* zone(std::string_view name) const noexcept;
    [[nodiscard]] const Vm* vm(std::string_view name) const noexcept;
    [[nodiscard]] const Service* service(std::string_view name) const noexcept;
    [[nodiscard]] const Model* model(std::string_view name) const noexcept;
    [[nodiscard]] const Customer* customer(std::string_view name) const noexcept;
    [[nodiscard]] const ProgramClass* programClass(std::string_view name) const noexcept;

    /// \brief All values in canonical form, ordered by schema and name, including defaults.
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

/// \brief Returns the customer that a key authenticates, or null if the key is invalid. The cost is one hash table
/// lookup and one hash computation, independent of the number of customers.
///
/// A key has the form `<customer>.<secret>`. The hash is also computed for unknown customers, so that the response time
/// does not reveal which customers exist.
[[nodiscard]] const Customer* customerOfKey(const Document& document, std::string_view key);

/// \brief The document without faults, or null and all faults.
struct ParseResult {
    std::shared_ptr<const Document> document;
    Faults faults;
};

/// \brief Parses and validates a document text. Accepts arbitrary bytes; all problems are reported as faults.
[[nodiscard]] ParseResult parse(std::string_view text);

/// \brief Returns INI text in canonical form; `parse` turns it into an equal document.
[[nodiscard]] std::string print(const Document& document);
[[nodiscard]] std::string print(const std::vector<DocumentValue>& values);

} // namespace lagoontiller::document
