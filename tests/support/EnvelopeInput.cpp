#include "support/EnvelopeInput.h"

#include "nodes/DocumentGossip.h"
#include "nodes/EnvelopeDecoding.h"
#include "nodes/ForwardStreams.h"
#include "nodes/Membership.h"
#include "nodes/VmListGossip.h"

#include <cstdio>
#include <cstdlib>

namespace lagoontiller::nodes::support {

namespace {

constexpr std::size_t frameHeaderBytes = 3;

void require(bool condition, const char* invariant)
{
    if (condition)
        return;
    std::fprintf(stderr, "invariant does not hold: %s\n", invariant);
    std::abort();
}

/// One node with one opened and one served stream, so that frames for known streams exist.
class Target {
public:
    Target()
        : generator(1)
        , membership(Member { "self", "127.0.0.1:1", "127.0.0.1:2", "z", "r", 5, wire::ALIVE, false, 0 },
              makeSettings(), this->generator, this->now)
        , documents({}, this->generator)
        , lists({}, this->generator)
        , streams(1, {})
    {
        ForwardEffects effects;
        (void)this->streams.open("a", {}, this->now, effects);
        (void)this->documents.publish(1, "[a]\nx = 1\n", {});
        (void)this->documents.publish(2, "[a]\nx = 2\n", {});
    }

    void handle(const wire::Envelope& envelope, core::Duration elapsed)
    {
        this->now += elapsed;
        const auto documentVersion = this->documents.version();
        const auto listVersion = this->lists.version();
        const auto incarnation = this->membership.localMember().incarnation;
        this->check(this->membership.handle(envelope, this->now));
        this->check(this->membership.tick(this->now));
        const auto& peers = this->membership.peers();
        this->check(this->documents.handle(envelope, peers, this->now));
        this->check(this->lists.handle(envelope, peers, this->now));
        this->check(this->streams.handle(envelope, this->now));
        this->check(this->streams.tick(this->now));
        require(this->documents.version() >= documentVersion, "the document version does not fall");
        require(this->lists.version() >= listVersion, "the list version does not fall");
        require(this->membership.localMember().incarnation >= incarnation, "the incarnation does not fall");
        require(this->membership.localMember().state == wire::ALIVE, "a node stays alive for itself");
        require(this->membership.activeMembers().size() <= this->membership.size() + 1, "living nodes are members");
        require(!this->membership.find("self")->node.empty(), "a node finds itself");
        require(this->streams.openedCount() <= 1, "a frame opens no stream of this side");
    }

private:
    static MembershipSettings makeSettings()
    {
        MembershipSettings settings;
        settings.seeds = { "127.0.0.1:1", "127.0.0.1:9" };
        return settings;
    }

    template <typename Effects> void check(const Effects& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* message = std::get_if<SendMessage>(&effect)) {
                require(!message->node.empty() || !message->address.empty(), "a message has a receiver");
                require(message->node != "self", "no message goes to the node itself");
            }
        }
    }

    RandomGenerator generator;
    core::TimePoint now { std::chrono::seconds(100) };
    Membership membership;
    DocumentGossip documents;
    VmListGossip lists;
    ForwardStreams streams;
};

std::string frame(const std::string& bytes, char elapsed)
{
    std::string result;
    result.push_back(static_cast<char>(bytes.size() >> 8));
    result.push_back(static_cast<char>(bytes.size() & 0xff));
    result.push_back(elapsed);
    return result + bytes;
}

wire::Envelope makeEnvelope()
{
    wire::Envelope envelope;
    envelope.set_sender("a");
    envelope.set_incarnation(3);
    envelope.set_document_version(3);
    envelope.set_vm_list_version(1);
    return envelope;
}

void fillUpdate(wire::MemberUpdate& update, const std::string& node, wire::MemberState state)
{
    toWire(Member { node, "127.0.0.1:3", "127.0.0.1:4", "z", "r", 5, state, false, 3 }, update);
}

std::vector<wire::Envelope> makeEnvelopes()
{
    std::vector<wire::Envelope> envelopes(15, makeEnvelope());
    std::size_t next = 0;
    fillUpdate(*envelopes[next++].mutable_join()->mutable_self(), "a", wire::ALIVE);
    fillUpdate(*envelopes[next++].mutable_probe()->add_updates(), "a", wire::ALIVE);
    fillUpdate(*envelopes[next++].mutable_probe()->add_updates(), "self", wire::DEAD);
    envelopes[next++].mutable_probe_request()->set_target("b");
    fillUpdate(*envelopes[next++].mutable_acknowledgement()->add_updates(), "b", wire::SUSPECT);
    fillUpdate(*envelopes[next++].mutable_join_reply()->add_members(), "b", wire::ALIVE);
    envelopes[next++].mutable_document_request()->set_held_version(1);
    auto& update = *envelopes[next++].mutable_document_update();
    update.set_version(3);
    update.set_base_version(2);
    update.set_digest("0");
    update.add_sections()->set_header("b");
    envelopes[next++].mutable_forward_open()->set_stream(7);
    envelopes[next++].mutable_forward_head()->set_stream(1);
    envelopes[next++].mutable_forward_data()->set_stream(1);
    auto& end = *envelopes[next++].mutable_forward_end();
    end.set_stream(1);
    end.set_complete(true);
    end.set_sequence(1);
    envelopes[next++].mutable_forward_cancel()->set_stream(7);
    envelopes[next].mutable_vm_list_update()->set_list_version(1);
    envelopes[next++].mutable_vm_list_update()->set_list("{}");
    envelopes[next++].mutable_vm_list_request()->set_held_version(0);
    return envelopes;
}

} // namespace

void runEnvelopeInput(std::span<const std::uint8_t> input)
{
    Target target;
    while (input.size() > frameHeaderBytes) {
        const std::size_t announced = static_cast<std::size_t>(input[0]) << 8 | input[1];
        const auto elapsed = std::chrono::milliseconds(100) * input[2];
        input = input.subspan(frameHeaderBytes);
        const auto bytes = input.first(std::min(announced, input.size()));
        input = input.subspan(bytes.size());
        const auto envelope = decodeEnvelope(bytes.data(), bytes.size());
        // The transport drops frames in the node's own name.
        if (envelope && envelope->sender() != "self")
            target.handle(*envelope, elapsed);
    }
}

std::vector<std::string> makeEnvelopeCorpus()
{
    std::vector<std::string> corpus { "", "\x01", std::string("\xff\xff\x00garbage", 10) };
    std::string all;
    for (const auto& envelope : makeEnvelopes()) {
        const auto bytes = envelope.SerializeAsString();
        corpus.push_back(frame(bytes, 2));
        corpus.push_back(frame(bytes.substr(0, bytes.size() / 2), 1));
        all += frame(bytes, 3);
    }
    corpus.push_back(all);
    return corpus;
}

} // namespace lagoontiller::nodes::support
