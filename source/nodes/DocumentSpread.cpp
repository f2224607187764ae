#include "nodes/DocumentSpread.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Versions back for which changed sections can be sent: 8 minutes at 9,300 changes a day.
constexpr std::size_t maxHistory = 64;

/// Longest section header in an update.
constexpr std::size_t maxHeaderBytes = 1024;

} // namespace

DocumentSpread::DocumentSpread(VersionSpreadSettings settings, Generator& generator)
    : spread(settings, generator)
{
}

DocumentEffects DocumentSpread::accept(
    std::uint64_t version, const std::string& text, const std::vector<std::string>& peers)
{
    DocumentEffects effects;
    if (version > this->spread.held())
        this->replace(version, DocumentSections(text), {}, peers, effects);
    return effects;
}

void DocumentSpread::replace(std::uint64_t version, DocumentSections next, const std::string& from,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    auto headers = next.changesSince(this->sections);
    this->sections = std::move(next);
    auto text = this->sections.canonicalText();
    this->digest = core::digestHex(text);
    this->adopt(version, std::move(headers), std::move(text), from, peers, effects);
}

void DocumentSpread::adopt(std::uint64_t version, std::set<std::string> headers, std::string text,
    const std::string& from, const std::vector<std::string>& peers, DocumentEffects& effects)
{
    const auto base = this->spread.held();
    if (!this->spread.raise(version))
        return;
    if (base != 0)
        this->history.push_back(Change { base, version, std::move(headers) });
    if (this->history.size() > maxHistory)
        this->history.pop_front();
    this->needsWhole = false;
    effects.emplace_back(DocumentAdopted { version, std::move(text) });
    auto update = this->updateSince(base);
    if (update.ByteSizeLong() > this->spread.limits().maxPushBytes) {
        update.Clear();
        update.set_version(version);
    }
    for (const auto& peer : this->spread.receivers(peers, from)) {
        SendMessage message { peer, {}, {} };
        *message.envelope.mutable_document_update() = update;
        effects.emplace_back(std::move(message));
    }
}

wire::DocumentUpdate DocumentSpread::updateSince(std::uint64_t base) const
{
    wire::DocumentUpdate update;
    update.set_version(this->spread.held());
    update.set_digest(this->digest);
    const auto first = std::find_if(
        this->history.begin(), this->history.end(), [&](const Change& change) { return change.from == base; });
    if (base == 0 || first == this->history.end()) {
        update.set_text(this->sections.canonicalText());
        return update;
    }
    std::set<std::string> headers;
    for (auto change = first; change != this->history.end(); ++change)
        headers.insert(change->headers.begin(), change->headers.end());
    update.set_base_version(base);
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

DocumentEffects DocumentSpread::handle(
    const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now)
{
    DocumentEffects effects;
    this->spread.observe(envelope.sender(), envelope.document_version());
    if (envelope.has_document_update())
        this->apply(envelope.sender(), envelope.document_update(), peers, effects);
    if (envelope.has_document_request() && envelope.document_request().held_version() < this->spread.held()) {
        SendMessage message { envelope.sender(), {}, {} };
        *message.envelope.mutable_document_update() = this->updateSince(envelope.document_request().held_version());
        effects.emplace_back(std::move(message));
    }
    this->request(now, effects);
    return effects;
}

void DocumentSpread::apply(const std::string& sender, const wire::DocumentUpdate& update,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    // An announcement has no digest; the envelope's version has been noted.
    if (update.version() <= this->spread.held() || update.digest().empty())
        return;
    const bool isPartial = update.base_version() != 0;
    // Changes since a version that is not held here cannot be applied; the request that follows names the held one.
    if (isPartial && update.base_version() != this->spread.held())
        return;
    if (isPartial) {
        this->applySections(sender, update, peers, effects);
        return;
    }
    DocumentSections next(update.text());
    if (core::digestHex(next.canonicalText()) == update.digest())
        this->replace(update.version(), std::move(next), sender, peers, effects);
    else
        this->reject(sender, update);
}

// Replaces the sections in place and undoes this when the digest differs, so that a change costs neither a copy nor a
// new split of the whole document.
void DocumentSpread::applySections(const std::string& sender, const wire::DocumentUpdate& update,
    const std::vector<std::string>& peers, DocumentEffects& effects)
{
    std::map<std::string, std::optional<std::string>> earlier;
    bool isWellFormed = true;
    for (const auto& section : update.sections()) {
        const auto* held = this->sections.find(section.header());
        earlier.emplace(section.header(), held == nullptr ? std::nullopt : std::optional(*held));
        if (section.removed()) {
            this->sections.remove(section.header());
            continue;
        }
        // Only a text that splits into exactly this section keeps the rules of the canonical text.
        const DocumentSections single(section.text());
        const auto* text = single.find(section.header());
        isWellFormed
            = isWellFormed && section.header().size() <= maxHeaderBytes && text != nullptr && *text == section.text();
        this->sections.replace(section.header(), section.text());
    }
    auto text = this->sections.canonicalText();
    if (!isWellFormed || core::digestHex(text) != update.digest()) {
        for (auto& [header, previous] : earlier) {
            if (previous)
                this->sections.replace(header, std::move(*previous));
            else
                this->sections.remove(header);
        }
        this->reject(sender, update);
        return;
    }
    this->digest = update.digest();
    std::set<std::string> headers;
    for (const auto& [header, previous] : earlier) {
        const auto* held = this->sections.find(header);
        if (held == nullptr ? previous.has_value() : previous != *held)
            headers.insert(header);
    }
    this->adopt(update.version(), std::move(headers), std::move(text), sender, peers, effects);
}

void DocumentSpread::reject(const std::string& sender, const wire::DocumentUpdate& update)
{
    const bool isPartial = update.base_version() != 0;
    ++this->rejected;
    this->needsWhole = isPartial;
    this->spread.refuse(sender);
    if (isPartial)
        this->spread.observe(sender, update.version());
}

void DocumentSpread::request(core::TimePoint now, DocumentEffects& effects)
{
    const auto peer = this->spread.nextRequest(now);
    if (!peer)
        return;
    SendMessage message { *peer, {}, {} };
    message.envelope.mutable_document_request()->set_held_version(this->needsWhole ? 0 : this->spread.held());
    effects.emplace_back(std::move(message));
}

DocumentEffects DocumentSpread::tick(core::TimePoint now)
{
    DocumentEffects effects;
    this->request(now, effects);
    return effects;
}

} // namespace lagoontiller::nodes
