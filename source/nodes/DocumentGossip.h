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

/// \brief The node now holds a newer document version. `text` is the canonical text (see DocumentSections).
struct DocumentAdopted {
    std::uint64_t version;
    std::string text;
};

using DocumentEffect = std::variant<SendMessage, DocumentAdopted>;
using DocumentEffects = std::vector<DocumentEffect>;

/// \brief Distributes the operator document between nodes by gossip. A state machine without sockets or a clock.
///
/// Every envelope carries the document version of its sender. A node with an older version requests the document from
/// one peer at a time. A newly adopted version is pushed to random members as the sections that changed since the
/// version held before. The held version never decreases.
class DocumentGossip {
public:
    DocumentGossip(VersionGossipSettings settings, RandomGenerator& generator);

    /// \brief Adopts a version that was read from the store or accepted from an operator, and pushes it to random
    /// peers. Returns no effects if `version` is not newer than the held one.
    /// \param peers Names of the other alive or suspect members (`Membership::peers`).
    [[nodiscard]] DocumentEffects publish(
        std::uint64_t version, const std::string& text, const std::vector<std::string>& peers);
    /// \brief Handles an envelope of any kind: records the sender's document version, and applies a document update or
    /// answers a document request. Returns the messages to send, and DocumentAdopted if a newer version was adopted.
    [[nodiscard]] DocumentEffects handle(
        const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now);
    /// \brief Requests a newer version if a peer has one and no earlier request is pending. A request that has timed
    /// out is repeated to another peer.
    [[nodiscard]] DocumentEffects tick(core::TimePoint now);

    /// \brief Version of the held document; 0 if none is held.
    [[nodiscard]] std::uint64_t version() const noexcept { return this->gossip.heldVersion(); }
    [[nodiscard]] std::string text() const { return this->sections.canonicalText(); }
    /// \brief Number of updates rejected because a section was malformed or the digest did not match the resulting
    /// text.
    [[nodiscard]] std::uint64_t rejectedCount() const noexcept { return this->rejectedUpdates; }

private:
    /// Headers of the sections that changed between two successively held versions.
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
    /// The last incremental update was rejected, so the next request asks for the whole text.
    bool needsFullText = false;
    std::uint64_t rejectedUpdates = 0;
};

} // namespace lagoontiller::nodes
