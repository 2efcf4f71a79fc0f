#include "claims/ClaimsNode.h"
#include "config/Bundle.h"
#include "config/ConfigurationStore.h"
#include "membership/Neighbours.h"
#include "membership/View.h"
#include "peer/Codec.h"
#include "placement/RunnerPool.h"
#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <random>
#include <string>

using namespace eelgrassford;

// Measures for docs/CAPACITY.md how message sizes, processor time and memory of each role grow with the size of the
// installation. Prints one line per measurement: slope=NAME size=N value=V unit=U

namespace {

double secondsOf(const std::function<void()>& work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void print(const char* name, std::size_t size, double value, const char* unit)
{
    std::printf("slope=%s size=%zu value=%.3f unit=%s\n", name, size, value, unit);
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

void measureMessages()
{
    using namespace claims;
    constexpr std::size_t frameOverhead = 8 + 4;
    const ClaimId id { "entry-123", 1764800000000000000, 123456 };
    const WitnessView view { 123456,
        { "entry-001", "entry-102", "entry-203", "entry-304", "entry-405", "entry-506", "entry-607" } };
    const Key key { 0x123456789abcdef0, 0xfedcba9876543210 };
    auto size = [&](const peer::Message& message) {
        return static_cast<double>(peer::encode(message).size() + frameOverhead);
    };
    print("claim-request", 1, size(ClaimRequest { key, id, view.digest() }), "B");
    print("claim-reply", 1, size(ClaimReply { key, id, Verdict::Granted, {}, view.digest() }), "B");
    print("heartbeat", 1, size(peer::Heartbeat { 12345, std::string(64, 'a'), 123456, true }), "B");
    print("quarantine-notice", 1, size(peer::QuarantineNotice { 0xfedcba9876543210 }), "B");
    for (const std::size_t count : { 1, 10, 100 }) {
        peer::PlacementDigest digest { "model-1", {}, {} };
        peer::PlacementDigest exceptions { "model-1", {}, {} };
        for (std::size_t i = 0; i < count; ++i) {
            digest.workDeltas.push_back({ "runner-" + std::to_string(1000 + i), 256.0 });
            exceptions.exceptions.push_back(
                { 0xfedcba9876543210 + i, "runner-" + std::to_string(1000 + i), 3000, "runner-1234" });
        }
        print("load-deltas", count, size(digest), "B");
        print("placement-exceptions", count, size(exceptions), "B");
        peer::DemandDigest demand;
        for (std::size_t i = 0; i < count; ++i)
            demand.demand.push_back({ "organisation-" + std::to_string(100 + i), 1.5 });
        print("demand-digest", count, size(demand), "B");
    }
}

/// Measures claims of a whole fleet in one process; every message is delivered without delay.
void measureClaims(std::size_t daemons, std::uint32_t groups)
{
    constexpr std::size_t claimCount = 20000;
    std::vector<claims::EntryHost> hosts;
    for (std::size_t i = 0; i < daemons; ++i)
        hosts.push_back({ "entry-" + std::to_string(100 + i), "dc-" + std::to_string(i % 32) });
    std::map<std::string, claims::ClaimsNode> nodes;
    std::deque<std::pair<std::string, claims::Envelope>> queue;
    double bytes = 0;
    std::size_t grantedClaims = 0;
    TimePoint now(std::chrono::seconds(1));
    auto apply = [&](const std::string& from, const claims::ClaimsNode::Actions& actions) {
        for (const auto& action : actions) {
            if (const auto* envelope = std::get_if<claims::Envelope>(&action))
                queue.emplace_back(from, *envelope);
            else
                grantedClaims += std::holds_alternative<claims::Dispatch>(action) ? 1 : 0;
        }
    };
    auto deliverAll = [&](bool isCounted) {
        while (!queue.empty()) {
            auto [from, envelope] = std::move(queue.front());
            queue.pop_front();
            if (isCounted)
                std::visit(
                    [&](const auto& message) { bytes += static_cast<double>(peer::encode(message).size() + 12); },
                    envelope.message);
            apply(envelope.to, nodes.at(envelope.to).receive(from, envelope.message, now));
        }
    };
    for (const auto& host : hosts) {
        claims::ClaimsNode::Options options;
        options.self = host.id;
        options.incarnation = 1;
        options.isFirstStart = true;
        options.groupCount = groups;
        options.witnessesPerGroup = groups > 1 ? 7 : 9;
        nodes.emplace(host.id, claims::ClaimsNode(options, now));
    }
    for (auto& [id, node] : nodes)
        apply(id, node.setHosts(1, hosts, true, now));
    deliverAll(false);
    const auto heapBefore = heapBytes();
    const double seconds = secondsOf([&] {
        for (std::size_t i = 0; i < claimCount; ++i) {
            const auto& id = hosts[i % hosts.size()].id;
            apply(id, nodes.at(id).begin({ mix64(i, 1), mix64(i, 2) }, i, i + 1, now));
            deliverAll(false);
        }
    });
    print("claims-won-of-20000", daemons, static_cast<double>(grantedClaims), "claims");
    print("claim-time", daemons, seconds / claimCount * 1e6, "us per claim over the fleet");
    print("claim-memory", daemons, (heapBytes() - heapBefore) / claimCount, "B per claim over the fleet");
    for (std::size_t i = 0; i < 1000; ++i) {
        const auto& id = hosts[i % hosts.size()].id;
        apply(id, nodes.at(id).begin({ mix64(i, 3), mix64(i, 4) }, i, i + 1, now));
        deliverAll(true);
    }
    const auto& observed = hosts.front().id;
    constexpr int ticks = 100;
    const double tickSeconds = secondsOf([&] {
        for (int i = 0; i < ticks; ++i)
            apply(observed, nodes.at(observed).tick(now));
    });
    print("claims-tick", nodes.at(observed).recordCount() + nodes.at(observed).grantCount(), tickSeconds / ticks * 1e6,
        "us per tick");
    print("claim-bytes", daemons, bytes / 1000, "B per claim over the fleet");
}

membership::HostList makeHostList(std::size_t runners, std::size_t daemons)
{
    membership::HostList list { 1, {} };
    for (std::size_t i = 0; i < daemons + runners; ++i) {
        membership::Host host;
        host.id = (i < daemons ? "entry-" : "runner-") + std::to_string(i);
        host.role = i < daemons ? membership::HostRole::Entry : membership::HostRole::ModelRunner;
        host.region = "region-" + std::to_string(i % 9);
        host.dataCentre = "dc-" + std::to_string(i % 32);
        host.address = "10.0.0.1:8000";
        host.peerAddress = i < daemons ? "10.0.0.1:8081" : "";
        if (i >= daemons)
            host.models = { "model-" + std::to_string(i % 3) };
        list.hosts.push_back(host);
    }
    return list;
}

void measureMembership(std::size_t runners, std::size_t daemons)
{
    auto list = makeHostList(runners, daemons);
    const auto text = membership::serialize(list);
    print("host-list-bytes", runners, static_cast<double>(text.size()), "B");
    print("host-list-parse", runners, secondsOf([&] { membership::parseHostList(text); }) * 1e3, "ms");
    const auto before = heapBytes();
    membership::View view;
    view.apply(list, TimePoint {});
    print("view-memory", runners, heapBytes() - before, "B");
    list.revision = 2;
    print("view-apply", runners, secondsOf([&] { view.apply(list, TimePoint {}); }) * 1e3, "ms");
    print("neighbours", daemons, secondsOf([&] { membership::chooseNeighbours(list, "entry-0"); }) * 1e3, "ms");
}

void measurePlacement(std::size_t runners)
{
    auto list = makeHostList(runners, 0);
    membership::View view;
    view.apply(list, TimePoint {});
    const auto before = heapBytes();
    placement::RunnerPool pool({}, placement::makeStrategy("bounded-load", {}));
    print("fleet-first-update", runners, secondsOf([&] { pool.update(list.hosts, view, TimePoint {}); }) * 1e3, "ms");
    list.hosts.pop_back();
    print("fleet-one-change", runners, secondsOf([&] { pool.update(list.hosts, view, TimePoint {}); }) * 1e3, "ms");
    print("fleet-memory", runners, heapBytes() - before, "B");
    print("fleet-no-change", runners, secondsOf([&] { pool.update(list.hosts, view, TimePoint {}); }) * 1e3, "ms");
}

void measureConfiguration(std::size_t organisations)
{
    config::Configuration configuration;
    configuration.revision = 1;
    for (std::size_t i = 0; i < organisations; ++i)
        configuration.organisations.push_back({ "organisation-" + std::to_string(i), 1.0, 100.0, 50 });
    const auto bundle = config::makeBundle(configuration);
    std::size_t bytes = 0;
    for (const auto& [hash, part] : bundle->parts)
        bytes += part.size();
    print("bundle-bytes", organisations, static_cast<double>(bytes), "B");
    print("bundle-parts", organisations, static_cast<double>(bundle->parts.size()), "parts");
    const auto lookup = [&](const std::string& hash) -> std::optional<std::string> { return bundle->parts.at(hash); };
    print("bundle-assemble", organisations, secondsOf([&] { config::assemble(bundle->manifest, lookup); }) * 1e3, "ms");
    configuration.organisations[organisations / 2].weight = 2.0;
    const auto changed = config::makeBundle(configuration);
    std::size_t changedBytes = config::serialize(changed->manifest).size();
    for (const auto& [hash, part] : changed->parts)
        changedBytes += bundle->parts.contains(hash) ? 0 : part.size();
    print("bundle-change-bytes", organisations, static_cast<double>(changedBytes), "B");
}

void measureExceptionMemory(std::size_t chats)
{
    const auto before = heapBytes();
    placement::PlacementExceptionCache exceptions(chats);
    for (std::size_t i = 0; i < chats; ++i)
        exceptions.applyFromPeer({ mix64(i, 1), 1, 2, 100 });
    print("exception-memory", chats, (heapBytes() - before) / static_cast<double>(chats), "B per chat");
}

}

int main()
{
    measureMessages();
    measureClaims(8, 1);
    measureClaims(22, 64);
    measureClaims(80, 64);
    measureClaims(200, 64);
    for (const std::size_t runners : { 100, 1000, 10000 })
        measureMembership(runners, runners * 71 / 1000);
    for (const std::size_t runners : { 12, 111, 1111 })
        measurePlacement(runners);
    for (const std::size_t organisations : { 22, 220, 2200 })
        measureConfiguration(organisations);
    for (const std::size_t chats : { 1000, 10000, 100000 })
        measureExceptionMemory(chats);
    return 0;
}
