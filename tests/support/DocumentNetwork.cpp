#include "support/DocumentNetwork.h"

namespace lagoontiller::nodes::support {

DocumentNetwork::DocumentNetwork(NetworkOptions options)
    : virtualNetwork(options)
    , adopted(options.nodes, 0)
{
    for (std::size_t index = 0; index < options.nodes; ++index) {
        this->generators.emplace_back(options.seed * 1'000'000 + index);
        this->documents.emplace_back(VersionGossipSettings {}, this->generators.back());
    }
    this->virtualNetwork.setHook([this](std::size_t index, const wire::Envelope* envelope, core::TimePoint now) {
        this->handle(index, envelope, now);
    });
}

void DocumentNetwork::accept(std::size_t index, std::uint64_t version, const std::string& text)
{
    const auto& peers = this->virtualNetwork.membership(index).peers();
    this->perform(index, this->documents[index].publish(version, text, peers));
}

void DocumentNetwork::handle(std::size_t index, const wire::Envelope* envelope, core::TimePoint now)
{
    auto& document = this->documents[index];
    const auto& peers = this->virtualNetwork.membership(index).peers();
    this->perform(index, envelope == nullptr ? document.tick(now) : document.handle(*envelope, peers, now));
}

void DocumentNetwork::perform(std::size_t index, DocumentEffects effects)
{
    for (auto& effect : effects) {
        if (const auto* change = std::get_if<DocumentAdopted>(&effect)) {
            this->regressionCount += change->version <= this->adopted[index] ? 1 : 0;
            this->adopted[index] = change->version;
            this->virtualNetwork.membership(index).setDocumentVersion(change->version);
        }
    }
    for (auto& effect : effects) {
        if (auto* message = std::get_if<SendMessage>(&effect))
            this->virtualNetwork.send(index, std::move(*message));
    }
}

bool DocumentNetwork::isInForce(std::uint64_t version)
{
    for (std::size_t index = 0; index < this->documents.size(); ++index) {
        if (this->virtualNetwork.node(index).isRunning && this->documents[index].version() != version)
            return false;
    }
    return true;
}

std::string makeDocument(std::size_t customers, std::uint64_t mark)
{
    std::string text = "# operator document\n[deployment]\nname = test\n";
    for (std::size_t customer = 0; customer < customers; ++customer) {
        text += "[customer c" + std::to_string(customer) + "]\nkey_salt = 00112233445566778899aabbccddeeff\nshare = "
            + std::to_string(customer == mark % customers ? mark : 1) + "\n";
    }
    return text;
}

} // namespace lagoontiller::nodes::support
