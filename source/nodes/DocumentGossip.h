#pragma once

#include "nodes/DocumentSections.h"
#include "nodes/Effects.h"
#include "nodes/VersionGossip.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief A higher version than before is held now; `text` is canonical (see DocumentSections).
struct DocumentAdopted {
    std::uint64_t version;
    std::string text;
};

using DocumentEffect = std::variant<SendMessage, DocumentAdopted>;
using DocumentEffects = std::vector<DocumentEffect>;

/// \brief Spread of the operator document between nodes: a state machine without socket or clock.
///
/// Every envelope carries its sender's version; a node that is behind requests the document, one request at a time. A
/// newly held version is pushed to random members as changes since the version held before. Versions only rise.
class DocumentGossip {
public:
    DocumentGossip(VersionGossipSettings settings, RandomGenerator& generator);

    /// \brief Takes a version from the store or from an operator's accepted edit. An older or equal one has no effect.
    /// \param peers Names of the other living members (`Membership::peers`).
    [[nodiscard]] DocumentEffects publish(
        std::uint64_t version, const std::string& text, const std::vector<std::string>& peers);
    /// \brief Takes any envelope: all carry the sender's version.
    [[nodiscard]] DocumentEffects handle(
        const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now);
    [[nodiscard]] DocumentEffects tick(core::TimePoint now);

    /// \brief 0 when no document is held.
    [[nodiscard]] std::uint64_t version() const noexcept { return this->gossip.heldVersion(); }
    [[nodiscard]] std::string text() const { return this->sections.canonicalText(); }
    /// \brief Updates whose digest did not match the resulting text.
    [[nodiscard]] std::uint64_t rejectedCount() const noexcept { return this->rejectedUpdates; }

private:
    /// Sections that changed between two versions held one after the other.
    struct Change {
        std::uint64_t fromVersion;
        std::uint64_t toVersion;
        std::set<std::string> headers;
    };

    void replaceSections(std::uint64_t version, DocumentSections next, const std::string& source,
        const std::vector<std::string>& peers, DocumentEffects& effects);
    void adopt(std::uint64_t version, std::set<std::string> headers, std::string text, const std::string& source,
        const std::vector<std::string>& peers, DocumentEffects& effects);
    void applyChangedSections(const std::string& sender, const wire::DocumentUpdate& update,
        const std::vector<std::string>& peers, DocumentEffects& effects);
    void rejectUpdate(const std::string& sender, const wire::DocumentUpdate& update);
    void applyUpdate(const std::string& sender, const wire::DocumentUpdate& update,
        const std::vector<std::string>& peers, DocumentEffects& effects);
    void requestUpdate(core::TimePoint now, DocumentEffects& effects);
    [[nodiscard]] wire::DocumentUpdate updateSince(std::uint64_t baseVersion) const;

    VersionGossip gossip;
    DocumentSections sections;
    std::string digest;
    std::deque<Change> recentChanges;
    /// The last update with sections did not lead to its digest, so the next request asks for the whole text.
    bool needsFullText = false;
    std::uint64_t rejectedUpdates = 0;
};

} // namespace lagoontiller::nodes
