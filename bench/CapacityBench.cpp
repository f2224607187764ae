// Fills state structures at increasing sizes and prints key=value lines with the growth per element.
#include "bench/fakes/TableModel.h"
#include "control/AnswerStream.h"
#include "control/Call.h"
#include "core/Hash.h"
#include "core/Metrics.h"
#include "document/Document.h"
#include "nodes/DocumentGossip.h"
#include "nodes/Membership.h"
#include "policy/PoisonDetector.h"
#include "policy/Router.h"
#include "state/CommitStream.h"
#include "state/PartitionOwnership.h"
#include "state/ProgramStore.h"
#include "state/StoreKeys.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <malloc.h>

namespace {

using namespace lagoontiller;

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t turnTokens = 600'000 / 440;

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double secondsOf(const std::function<void()>& work)
{
    const auto started = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
}

/// Heap bytes that remain allocated after `fill` has populated the object.
template <typename Object> double heapOf(Object& object, const std::function<void(Object&)>& fill)
{
    const auto before = heapBytes();
    fill(object);
    return heapBytes() - before;
}

struct Point {
    double size;
    double value;
};

/// Least-squares slope and the the lowest and highest slope between adjacent sizes.
void printSlope(const std::string& what, const std::string& per, const std::vector<Point>& points)
{
    double sizes = 0;
    double values = 0;
    for (const auto& point : points) {
        sizes += point.size / static_cast<double>(points.size());
        values += point.value / static_cast<double>(points.size());
    }
    double shared = 0;
    double squares = 0;
    double lowest = 1e300;
    double highest = -1e300;
    std::cout << "slope what=" << what << " per=" << per;
    for (std::size_t index = 0; index < points.size(); ++index) {
        const auto& point = points[index];
        shared += (point.size - sizes) * (point.value - values);
        squares += (point.size - sizes) * (point.size - sizes);
        std::cout << " at_" << static_cast<std::uint64_t>(point.size) << "=" << point.value;
        if (index == 0)
            continue;
        const auto step = (point.value - points[index - 1].value) / (point.size - points[index - 1].size);
        lowest = std::min(lowest, step);
        highest = std::max(highest, step);
    }
    std::cout << " slope=" << shared / squares << " lowest=" << lowest << " highest=" << highest
              << " intercept=" << values - shared / squares * sizes << std::endl;
}

records::Entry entryOf(std::size_t program)
{
    records::Entry entry;
    entry.set_epoch(1);
    entry.set_customer("customer-" + std::to_string(program % 5'700));
    entry.set_program("north." + core::digestHex(std::to_string(program)));
    return entry;
}

records::Entry turnOf(std::size_t program, std::uint32_t turn, std::size_t tokens)
{
    auto entry = entryOf(program);
    auto& finished = *entry.mutable_turn_finished();
    finished.set_turn(turn);
    finished.set_digest(core::digestHex(std::to_string(turn)));
    // One fifth of the turn's text is the answer, which is stored both in `messages` and in `answer`.
    finished.set_messages(std::string(tokens * bytesPerToken, 'm'));
    finished.set_answer(std::string(tokens * bytesPerToken / 5, 'a'));
    finished.mutable_usage()->set_prompt_tokens(tokens * turn);
    finished.mutable_usage()->set_completion_tokens(tokens / 5);
    finished.set_request_id("node-123-0123456789ab-" + std::to_string(program));
    finished.set_attempt(1);
    finished.set_endpoint("10.12.200.117:9100");
    return entry;
}

std::vector<records::Entry> programOf(std::size_t program, std::uint32_t turns, std::size_t tokens)
{
    std::vector<records::Entry> entries;
    entries.push_back(entryOf(program));
    entries.back().mutable_program_opened()->set_program_class("inspection");
    entries.push_back(entryOf(program));
    entries.back().mutable_budget_reserved()->set_total_tokens(32'768);
    entries.push_back(entryOf(program));
    entries.back().mutable_endpoint_used()->set_endpoint("10.12.200.117:9100");
    for (std::uint32_t turn = 1; turn <= turns; ++turn)
        entries.push_back(turnOf(program, turn, tokens));
    return entries;
}

double heapOfPrograms(std::size_t programs, std::uint32_t turns, std::size_t tokens)
{
    state::ProgramStore store;
    return heapOf<state::ProgramStore>(store, [&](auto& filled) {
        for (std::size_t program = 0; program < programs; ++program) {
            for (const auto& entry : programOf(program, turns, tokens))
                filled.apply(entry);
        }
    });
}

void measurePrograms()
{
    std::vector<Point> idle;
    for (const std::size_t programs : { 500, 2'000, 8'000 })
        idle.push_back({ static_cast<double>(programs), heapOfPrograms(programs, 0, 0) });
    printSlope("idle_program_bytes", "program_without_turns", idle);
    std::vector<Point> byTurns;
    for (const std::uint32_t turns : { 10, 110, 440 })
        byTurns.push_back({ static_cast<double>(turns), heapOfPrograms(50, turns, 0) / 50 });
    printSlope("idle_program_bytes", "turn_without_text", byTurns);
    std::vector<Point> byTokens;
    for (const std::size_t tokens : { std::size_t { 100 }, std::size_t { 400 }, turnTokens })
        byTokens.push_back({ static_cast<double>(tokens * 440), heapOfPrograms(20, 440, tokens) / 20 });
    printSlope("idle_program_bytes", "history_token", byTokens);
    std::vector<Point> logged;
    for (const std::size_t tokens : { std::size_t { 100 }, std::size_t { 400 }, turnTokens })
        logged.push_back({ static_cast<double>(tokens), static_cast<double>(turnOf(7, 44, tokens).ByteSizeLong()) });
    printSlope("log_record_bytes", "turn_token", logged);
}

void measurePartitions()
{
    std::vector<Point> points;
    for (const std::uint32_t count : { 256, 1'024, 4'096 }) {
        const state::Partitions partitions(count, { "north", "south" });
        fakes::TableModel table;
        for (std::uint32_t partition = 0; partition < count; ++partition) {
            records::OwnerRow row;
            row.set_node("node-" + std::to_string(partition % 780));
            row.set_epoch(3);
            row.set_stream(row.node() + "-0123456789ab");
            row.set_snapshot_object("snapshot/12/3-123456789-0123456789abcdef");
            static_cast<void>(table.apply({ {}, {}, { { state::ownerKey(partition), row.SerializeAsString() } }, {} }));
        }
        const core::TimePoint now { std::chrono::seconds(100) };
        state::PartitionOwnership ownership(
            { .node = "node-780", .stream = "node-780-0" }, partitions, state::Generator(1), now);
        std::vector<state::LiveNode> nodes;
        for (int node = 0; node <= 780; ++node)
            nodes.push_back({ "node-" + std::to_string(node), node % 2 == 0 ? "north" : "south" });
        ownership.setNodes(nodes, now);
        const auto bytes = heapOf<state::PartitionOwnership>(ownership, [&](auto& filled) {
            auto effects = filled.tick(now, 1);
            while (!effects.empty()) {
                const auto* scan = std::get_if<state::ScanRows>(&effects.front());
                if (scan == nullptr)
                    break;
                static_cast<void>(
                    filled.onRows(scan->operation, table.scan(scan->prefix, scan->after, scan->limit), now));
                effects = filled.tick(now, 1);
            }
        });
        points.push_back({ static_cast<double>(count), bytes });
        constexpr int ticks = 2'000;
        const auto took = secondsOf([&] {
            for (int tick = 0; tick < ticks; ++tick)
                static_cast<void>(ownership.tick(now, 1));
        });
        const auto preferred = secondsOf([&] {
            for (std::uint32_t partition = 0; partition < 256; ++partition)
                static_cast<void>(state::preferredOwner(partitions, partition, nodes));
        });
        std::cout << "ownership partitions=" << count << " tick_us=" << took * 1e6 / ticks
                  << " preferred_owner_us=" << preferred * 1e6 / 256 << std::endl;
    }
    printSlope("ownership_bytes", "partition", points);
}

nodes::Member memberOf(std::size_t index)
{
    const auto number = std::to_string(1'000 + index);
    return { "node-" + number, "10.1.2.3:" + number, "10.1.2.3:8100", "zone-" + std::to_string(index % 5),
        "region-" + std::to_string(index % 2), 1'790'000'000'000, nodes::wire::ALIVE, false, 1 };
}

void measureMembers()
{
    std::vector<Point> points;
    for (const std::size_t count : { 195, 390, 780 }) {
        nodes::RandomGenerator generator(1);
        const core::TimePoint now { std::chrono::seconds(100) };
        nodes::Membership membership(memberOf(0), {}, generator, now);
        nodes::wire::Envelope envelope;
        envelope.set_sender("node-1001");
        for (std::size_t index = 1; index < count; ++index)
            nodes::toWire(memberOf(index), *envelope.mutable_join_reply()->add_members());
        const auto bytes = heapOf<nodes::Membership>(
            membership, [&](auto& filled) { static_cast<void>(filled.handle(envelope, now)); });
        points.push_back({ static_cast<double>(count), bytes });
    }
    printSlope("membership_bytes", "member", points);
}

void measureEndpoints()
{
    std::vector<Point> points;
    for (const std::size_t count : { 575, 1'150, 2'300 }) {
        policy::Router router;
        const core::TimePoint now { std::chrono::seconds(100) };
        const auto bytes = heapOf<policy::Router>(router, [&](auto& filled) {
            for (std::size_t index = 0; index < count; ++index) {
                policy::EndpointSpec spec;
                spec.name = "10.12.200.117:" + std::to_string(10'000 + index);
                spec.service = "models-" + std::to_string(index % 37);
                spec.models = { "model-" + std::to_string(index % 37) };
                spec.zone = "zone-" + std::to_string(index % 5);
                spec.region = "region-" + std::to_string(index % 2);
                const auto id = filled.upsert(spec);
                filled.report(id, { 3, 1, 100, 1'000, now });
            }
        });
        points.push_back({ static_cast<double>(count), bytes });
    }
    printSlope("router_bytes", "endpoint", points);
    std::vector<Point> prefixes;
    for (const std::size_t count : { 5'000, 20'000, 60'000 }) {
        policy::PrefixDirectory directory(65'536);
        const auto bytes = heapOf<policy::PrefixDirectory>(directory, [&](auto& filled) {
            for (std::size_t index = 1; index <= count; ++index)
                filled.confirm(index, index % 2'300, 4'000, core::TimePoint(std::chrono::seconds(1)));
        });
        prefixes.push_back({ static_cast<double>(count), bytes });
    }
    printSlope("prefix_bytes", "prefix", prefixes);
}

std::string documentText(std::size_t customers, int share)
{
    std::string text = "[deployment]\nname = Capacity\ncurrency = milliseconds\n[region north]\n[zone north-a]\n"
                       "region = north\n[vm entry-1]\naddress = 10.1.1.1:8101\nzone = north-a\nrole = entry\n"
                       "[vm engine-1]\naddress = 10.1.1.1:9101\nzone = north-a\nrole = endpoint\nservice = models\n"
                       "[service models]\nkind = model\nmodels = large\nrepeatable = true\ntimeout_ms = 60000\n"
                       "[model large]\nversion = 1\ncontext_tokens = 32768\n"
                       "[class normal]\npriority = 5\nmax_turns = 440\nmax_calls = 2000\nmax_tokens = 600000\n"
                       "max_wall_seconds = 28800\n[limits]\nmax_body_bytes = 4194304\nmax_queue = 1000\n"
                       "stream_silence_ms = 15000\n";
    for (std::size_t index = 0; index < customers; ++index) {
        text += "[customer customer-" + std::to_string(index)
            + "]\nkey_salt = 16a5334193917c531d0babb6928341d6\nkey_hash = "
              "ca4534f5f47d464ebbb76bed8ff37917b5035815b1378bde3b9ab9993da9b3a8\nshare = "
            + std::to_string(index == 0 ? share : 1) + "\nmax_concurrent = 200\nclasses = normal\n";
    }
    return text;
}

void measureDocument()
{
    std::vector<Point> bytes;
    std::vector<Point> parse;
    std::vector<Point> lookUp;
    for (const std::size_t customers : { 1'425, 2'850, 5'700 }) {
        const auto size = static_cast<double>(customers);
        const auto text = documentText(customers, 1);
        document::ParseResult parsed;
        double took = 0;
        bytes.push_back({ size, heapOf<document::ParseResult>(parsed, [&](auto& result) {
                             took = secondsOf([&] { result = document::parse(text); });
                         }) });
        if (parsed.document == nullptr) {
            std::cout << "failed document line=" << parsed.faults.front().line
                      << " section=" << parsed.faults.front().section << std::endl;
            return;
        }
        parse.push_back({ size, took * 1e3 });
        constexpr int repeats = 20'000;
        const auto each = secondsOf([&] {
            for (int repeat = 0; repeat < repeats; ++repeat)
                static_cast<void>(
                    document::customerOfKey(*parsed.document, "customer-" + std::to_string(repeat % customers) + ".x"));
        });
        lookUp.push_back({ size, each * 1e6 / repeats });
        nodes::RandomGenerator generator(1);
        nodes::DocumentGossip gossip({}, generator);
        const auto accepting = secondsOf([&] { static_cast<void>(gossip.publish(1, text, { "a", "b", "c", "d" })); });
        nodes::DocumentEffects effects;
        const auto changing = secondsOf([&] {
            effects = gossip.publish(2, documentText(customers, 2), { "a", "b", "c", "d" });
        });
        std::size_t wire = 0;
        for (const auto& effect : effects) {
            if (const auto* message = std::get_if<nodes::SendMessage>(&effect))
                wire = std::max(wire, message->envelope.ByteSizeLong());
        }
        std::cout << "document customers=" << customers << " text_bytes=" << text.size() << " change_bytes=" << wire
                  << " first_adopt_ms=" << accepting * 1e3 << " change_ms=" << changing * 1e3 << std::endl;
    }
    printSlope("document_bytes", "customer", bytes);
    printSlope("document_parse_ms", "customer", parse);
    printSlope("customer_look_up_us", "customer", lookUp);
}

void measureSmall()
{
    std::vector<Point> streams;
    for (const std::size_t count : { 500, 2'000, 8'000 }) {
        std::vector<std::shared_ptr<control::AnswerStream>> answers;
        streams.push_back({ static_cast<double>(count), heapOf<decltype(answers)>(answers, [&](auto& filled) {
                               for (std::size_t index = 0; index < count; ++index) {
                                   filled.push_back(
                                       std::make_shared<control::AnswerStream>(control::AnswerMetadata {}));
                                   filled.back()->addText(std::string(256 * bytesPerToken, 't'));
                               }
                           }) });
    }
    printSlope("answer_bytes", "open_stream_of_256_tokens", streams);
    std::vector<Point> digests;
    for (const std::size_t count : { 500, 1'000, 4'000 }) {
        policy::PoisonDetector ledger;
        digests.push_back({ static_cast<double>(count), heapOf<policy::PoisonDetector>(ledger, [&](auto& filled) {
                               for (std::size_t index = 0; index < count; index += 8) {
                                   std::vector<std::string> lost;
                                   for (std::size_t each = index; each < index + 8; ++each)
                                       lost.push_back(core::digestHex(std::to_string(each)));
                                   static_cast<void>(filled.endpointLost("10.12.200.117:" + std::to_string(index), lost,
                                       core::TimePoint(std::chrono::seconds(20 * index))));
                               }
                           }) });
    }
    printSlope("poison_bytes", "digest", digests);
    std::vector<Point> histograms;
    for (const std::size_t count : { 100, 400, 1'600 }) {
        core::MetricRegistry registry;
        histograms.push_back({ static_cast<double>(count), heapOf<core::MetricRegistry>(registry, [&](auto& filled) {
                                  for (std::size_t index = 0; index < count; ++index)
                                      filled.observe("latency_ms", { { "customer", std::to_string(index) } }, 20);
                              }) });
    }
    printSlope("metric_bytes", "histogram", histograms);
}

/// Cost of the four scans over all calls in each control loop iteration (turns, service calls, ends, waiting calls).
void measureTicks()
{
    std::vector<Point> points;
    for (const std::size_t count : { 200, 800, 3'200 }) {
        control::CallTable calls;
        const core::TimePoint due { std::chrono::hours(1) };
        for (std::size_t index = 1; index <= count; ++index) {
            control::Call call;
            call.id = index;
            call.operation = callers::ModelCall {};
            call.phase = control::CallPhase::Running;
            call.due = due;
            calls.add(std::move(call));
        }
        const core::TimePoint now { std::chrono::seconds(1) };
        constexpr int repeats = 500;
        std::size_t found = 0;
        const auto took = secondsOf([&] {
            for (int repeat = 0; repeat < repeats; ++repeat) {
                found += calls.select([&](const auto& call) { return call.modelCall() != nullptr && call.due <= now; })
                             .size();
                found
                    += calls.select([&](const auto& call) { return call.serviceCall() != nullptr && call.due <= now; })
                           .size();
                found += calls
                             .select([&](const auto& call) {
                                 return call.phase == control::CallPhase::Recording && call.due <= now;
                             })
                             .size();
                found += calls
                             .select([&](const auto& call) {
                                 return call.phase == control::CallPhase::AwaitsPartition && call.due <= now;
                             })
                             .size();
            }
        });
        points.push_back({ static_cast<double>(count), took * 1e6 / repeats + static_cast<double>(found) });
    }
    printSlope("control_tick_us", "call_under_way", points);
}

/// Recovers one partition from a snapshot and a log of 60 rows. The store answers without delay, so protocol_s
/// covers only the takeover delay and the control loop intervals.
void measureRecovery()
{
    constexpr std::uint32_t turns = 20;
    std::vector<Point> cpu;
    for (const std::size_t programs : { 150, 450, 1'367 }) {
        records::Snapshot snapshot;
        snapshot.set_epoch(1);
        for (std::size_t program = 0; program < programs; ++program) {
            for (auto& entry : programOf(program, turns, turnTokens))
                *snapshot.add_entries() = std::move(entry);
        }
        const auto image = snapshot.SerializeAsString();
        snapshot.Clear();
        fakes::TableModel table;
        records::OwnerRow row;
        row.set_node("node-dead");
        row.set_epoch(1);
        row.set_stream("dead-1");
        row.set_first_sequence(1);
        row.set_snapshot_object("snapshot");
        static_cast<void>(table.apply({ {}, {}, { { state::ownerKey(0), row.SerializeAsString() } }, {} }));
        for (std::uint64_t sequence = 1; sequence <= 60; ++sequence) {
            records::Batch batch;
            batch.set_batch_id("batch-" + std::to_string(sequence));
            batch.set_sequence(sequence);
            for (std::size_t each = 0; each < 8; ++each)
                *batch.add_entries() = turnOf((sequence * 8 + each) % programs, turns + 1, turnTokens);
            const auto value = state::encodeLogRow({ batch.batch_id(), batch.SerializeAsString(), {} });
            static_cast<void>(table.apply({ {}, {}, { { state::logKey("dead-1", sequence), value } }, {} }));
        }
        core::TimePoint now { std::chrono::seconds(100) };
        state::PartitionOwnership ownership(
            { .node = "node-1", .stream = "node-1-0" }, state::Partitions(1, { "north" }), state::Generator(1), now);
        ownership.setNodes({ { "node-1", "north" } }, now);
        const auto started = now;
        bool recovered = false;
        std::size_t held = 0;
        const auto took = secondsOf([&] {
            while (!recovered && now < started + std::chrono::seconds(60)) {
                now += std::chrono::milliseconds(10);
                auto effects = ownership.tick(now, 1);
                while (!effects.empty()) {
                    auto effect = std::move(effects.back());
                    effects.pop_back();
                    state::OwnershipEffects more;
                    if (const auto* scan = std::get_if<state::ScanRows>(&effect))
                        more = ownership.onRows(
                            scan->operation, table.scan(scan->prefix, scan->after, scan->limit), now);
                    else if (const auto* write = std::get_if<state::WriteTransaction>(&effect))
                        more = ownership.onTransaction(write->operation, table.apply(write->transaction), now);
                    else if (const auto* read = std::get_if<state::ReadObject>(&effect))
                        more = ownership.onObject(read->operation, std::optional(image), now);
                    else if (const auto* single = std::get_if<state::ReadRow>(&effect))
                        more = ownership.onRow(single->operation, table.read(single->key), now);
                    else if (const auto* done = std::get_if<state::PartitionRecovered>(&effect)) {
                        recovered = true;
                        held = done->store.memoryBytes();
                    }
                    for (auto& each : more)
                        effects.push_back(std::move(each));
                }
            }
        });
        const auto waited = std::chrono::duration<double>(now - started).count();
        std::cout << "recovery programs=" << programs << " turns_each=" << turns << " recovered=" << recovered
                  << " snapshot_mb=" << static_cast<double>(image.size()) / 1e6
                  << " held_mb=" << static_cast<double>(held) / 1e6 << " reads=" << ownership.storeReads()
                  << " writes=" << ownership.storeWrites() << " protocol_s=" << waited << " cpu_s=" << took
                  << std::endl;
        cpu.push_back({ static_cast<double>(programs), took * 1e3 });
    }
    printSlope("recovery_cpu_ms", "program_of_20_turns", cpu);
}

} // namespace

int main()
{
    measurePrograms();
    measurePartitions();
    measureMembers();
    measureEndpoints();
    measureDocument();
    measureSmall();
    measureTicks();
    measureRecovery();
    return 0;
}
