#pragma once

#include "nodes/DocumentGossip.h"
#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

/// \brief A VirtualNetwork whose nodes also hold the operator document.
class DocumentNetwork {
public:
    explicit DocumentNetwork(NetworkOptions options);

    VirtualNetwork& network() { return this->virtualNetwork; }
    /// \brief Gives a version to one node as the store would.
    void accept(std::size_t index, std::uint64_t version, const std::string& text);
    [[nodiscard]] DocumentGossip& document(std::size_t index) { return this->documents[index]; }
    /// \brief Whether every running node holds `version`.
    [[nodiscard]] bool isInForce(std::uint64_t version);
    /// \brief Adoptions of a version that is not higher than the one before on the same node.
    [[nodiscard]] std::uint64_t regressions() const { return this->regressionCount; }

private:
    void handle(std::size_t index, const wire::Envelope* envelope, core::TimePoint now);
    void perform(std::size_t index, DocumentEffects effects);

    VirtualNetwork virtualNetwork;
    std::deque<RandomGenerator> generators;
    std::deque<DocumentGossip> documents;
    std::vector<std::uint64_t> adopted;
    std::uint64_t regressionCount = 0;
};

/// \brief Document text with `customers` sections, one of which contains `mark`.
[[nodiscard]] std::string makeDocument(std::size_t customers, std::uint64_t mark);

} // namespace lagoontiller::nodes::support
