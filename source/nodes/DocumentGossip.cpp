#include "nodes/DocumentGossip.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Past versions from which an incremental update can be sent; covers at least 8 minutes at 9,300 changes a day.
constexpr std::size_t maxRecentChanges = 64;

/// Longest section header accepted in an update.
constexpr std::size_t maxHeaderBytes = 1024;

} // namespace

DocumentGossip::DocumentGossip(VersionGossipSettings settings, RandomGenerator& generator)
    : gossip(settings, generator)
{
}

DocumentEffects DocumentGossip::publish(
    std::uint64_t version, const std::string& text, const std::vector<std::string>& peers)
{
    DocumentEffects effects;
    if (version > this->gossip.heldVersion())
        this->replaceSections(version, DocumentSections(text), {}, peers, effects);
    return effects;
}

void DocumentGossip::replaceSections(std::uint64_t version, DocumentSections next, const std::string& source,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    auto headers = next.changedHeadersSince(this->sections);
    this->sections = std::move(next);
    auto text = this->sections.canonicalText();
    this->digest = core::digestHex(text);
    this->adopt(version, std::move(headers), std::move(text), source, peers, effects);
}

void DocumentGossip::adopt(std::uint64_t version, std::set<std::string> headers, std::string text,
    const std::string& source, const std::vector<std::string>& peers, DocumentEffects& effects)
{
    const auto baseVersion = this->gossip.heldVersion();
    if (!this->gossip.advance(version))
        return;
    if (baseVersion != 0)
        this->recentChanges.push_back(Change { baseVersion, version, std::move(headers) });
    if (this->recentChanges.size() > maxRecentChanges)
        this->recentChanges.pop_front();
    this->needsFullText = false;
    effects.emplace_back(DocumentAdopted { version, std::move(text) });
    auto update = this->updateSince(baseVersion);
    if (update.ByteSizeLong() > this->gossip.limits().maxPushBytes) {
        update.Clear();
        update.set_version(version);
    }
    for (const auto& peer : this->gossip.choosePushTargets(peers, source)) {
        SendMessage message { peer, {}, {} };
        *message.envelope.mutable_document_update() = update;
        effects.emplace_back(std::move(message));
    }
}

wire::DocumentUpdate DocumentGossip::updateSince(std::uint64_t baseVersion) const
{
    wire::DocumentUpdate update;
    update.set_version(this->gossip.heldVersion());
    update.set_digest(this->digest);
    const auto first = std::find_if(this->recentChanges.begin(), this->recentChanges.end(),
        [&](const Change& change) { return change.fromVersion == baseVersion; });
    if (baseVersion == 0 || first == this->recentChanges.end()) {
        update.set_text(this->sections.canonicalText());
        return update;
    }
    std::set<std::string> headers;
    for (auto change = first; change != this->recentChanges.end(); ++change)
        headers.insert(change->headers.begin(), change->headers.end());
    update.set_base_version(baseVersion);
    for (const auto& header : headers) {
        auto& section = *update.add_sections();
        section.set_header(header);
        if (const auto* text = this->sections.find(header))
            section.set_text(*text);
        else
            section.set_removed(true);
    }
    return update;
}

DocumentEffects DocumentGossip::handle(
    const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now)
{
    DocumentEffects effects;
    this->gossip.recordPeerVersion(envelope.sender(), envelope.document_version());
    if (envelope.has_document_update())
        this->applyUpdate(envelope.sender(), envelope.document_update(), peers, effects);
    if (envelope.has_document_request() && envelope.document_request().held_version() < this->gossip.heldVersion()) {
        SendMessage message { envelope.sender(), {}, {} };
        *message.envelope.mutable_document_update() = this->updateSince(envelope.document_request().held_version());
        effects.emplace_back(std::move(message));
    }
    this->requestUpdate(now, effects);
    return effects;
}

void DocumentGossip::applyUpdate(const std::string& sender, const wire::DocumentUpdate& update,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    // An announcement carries no digest; `handle` has already recorded the sender's version.
    if (update.version() <= this->gossip.heldVersion() || update.digest().empty())
        return;
    const bool isIncremental = update.base_version() != 0;
    // An incremental update applies only to its base version. The request that follows names the held version.
    if (isIncremental && update.base_version() != this->gossip.heldVersion())
        return;
    if (isIncremental) {
        this->applyChangedSections(sender, update, peers, effects);
        return;
    }
    DocumentSections next(update.text());
    if (core::digestHex(next.canonicalText()) == update.digest())
        this->replaceSections(update.version(), std::move(next), sender, peers, effects);
    else
        this->rejectUpdate(sender, update);
}

// Replaces the sections in place and restores them if the digest does not match, so that a change requires neither
// copying nor re-splitting the whole document.
void DocumentGossip::applyChangedSections(const std::string& sender, const wire::DocumentUpdate& update,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    std::map<std::string, std::optional<std::string>> previousTexts;
    bool isWellFormed = true;
    for (const auto& section : update.sections()) {
        const auto* held = this->sections.find(section.header());
        previousTexts.emplace(section.header(), held == nullptr ? std::nullopt : std::optional(*held));
        if (section.removed()) {
            this->sections.remove(section.header());
            continue;
        }
        // The text must consist of exactly this section; otherwise the joined text would not be canonical.
        const DocumentSections single(section.text());
        const auto* text = single.find(section.header());
        isWellFormed
            = isWellFormed && section.header().size() <= maxHeaderBytes && text != nullptr && *text == section.text();
        this->sections.replace(section.header(), section.text());
    }
    auto text = this->sections.canonicalText();
    if (!isWellFormed || core::digestHex(text) != update.digest()) {
        for (auto& [header, previous] : previousTexts) {
            if (previous)
                this->sections.replace(header, std::move(*previous));
            else
                this->sections.remove(header);
        }
        this->rejectUpdate(sender, update);
        return;
    }
    this->digest = update.digest();
    std::set<std::string> headers;
    for (const auto& [header, previous] : previousTexts) {
        const auto* held = this->sections.find(header);
        if (held == nullptr ? previous.has_value() : previous != *held)
            headers.insert(header);
    }
    this->adopt(update.version(), std::move(headers), std::move(text), sender, peers, effects);
}

void DocumentGossip::rejectUpdate(const std::string& sender, const wire::DocumentUpdate& update)
{
    const bool isIncremental = update.base_version() != 0;
    ++this->rejectedUpdates;
    this->needsFullText = isIncremental;
    this->gossip.dropPeer(sender);
    if (isIncremental)
        this->gossip.recordPeerVersion(sender, update.version());
}

void DocumentGossip::requestUpdate(core::TimePoint now, DocumentEffects& effects)
{
    const auto peer = this->gossip.startRequest(now);
    if (!peer)
        return;
    SendMessage message { *peer, {}, {} };
    message.envelope.mutable_document_request()->set_held_version(this->needsFullText ? 0 : this->gossip.heldVersion());
    effects.emplace_back(std::move(message));
}

DocumentEffects DocumentGossip::tick(core::TimePoint now)
{
    DocumentEffects effects;
    this->requestUpdate(now, effects);
    return effects;
}

} // namespace lagoontiller::nodes
