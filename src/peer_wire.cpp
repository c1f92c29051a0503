// Conversion between the relay's messages and the wire format; see peer_wire_p.h.
#include "peer_wire_p.h"

namespace foxtaildyke
{

namespace
{

constexpr std::size_t kBitsPerByte = 8;

std::string packBits(const host_bits &bits)
{
    std::string bytes;
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (!bits[i])
            continue;
        bytes.resize(i / kBitsPerByte + 1);
        bytes.back() = static_cast<char>(static_cast<unsigned char>(bytes.back()) | 1U << i % kBitsPerByte);
    }
    return bytes;
}

host_bits unpackBits(const std::string &bytes, std::size_t skippedBytes = 0)
{
    host_bits bits((skippedBytes + bytes.size()) * kBitsPerByte);
    for (std::size_t i = skippedBytes * kBitsPerByte; i < bits.size(); ++i)
        bits[i] = (static_cast<unsigned char>(bytes[i / kBitsPerByte - skippedBytes]) >> i % kBitsPerByte & 1U) != 0;
    return bits;
}

void writeCount(const shared_count &count, evidence_count &wire)
{
    wire.set_kind(count.key.kind);
    wire.set_version(count.key.version);
    wire.set_passed(count.values[0]);
    wire.set_failed(count.values[1]);
    wire.set_dispatched(count.values[2]);
    wire.set_settled(count.values[3]);
}

shared_count readCount(const evidence_count &wire)
{
    return {{wire.kind(), wire.version()}, {wire.passed(), wire.failed(), wire.dispatched(), wire.settled()}};
}

void writeAcknowledgements(const acknowledgement_set &group, exchange_request &wire)
{
    auto bytes = packBits(group.members);
    const auto first = std::min(bytes.find_first_not_of('\0'), bytes.size());
    auto &target = *wire.add_vouches();
    target.set_skipped_bytes(static_cast<std::uint32_t>(first));
    target.set_members(bytes.substr(first));
    target.set_lag_us(static_cast<std::uint64_t>(group.lag.count()));
}

template <typename message>
void writeShared(const shared_updates &updates, message &wire)
{
    for (const auto &tally : updates.tallies) {
        auto &target = *wire.add_tallies();
        target.set_root(tally.root);
        for (const auto &count : tally.counts)
            writeCount(count, *target.add_counts());
    }
    wire.mutable_halted_versions()->Add(updates.haltedVersions.begin(), updates.haltedVersions.end());
    wire.mutable_quarantined()->Add(updates.quarantined.begin(), updates.quarantined.end());
    wire.mutable_crashed()->Add(updates.crashed.begin(), updates.crashed.end());
}

template <typename message>
shared_updates readShared(const message &wire)
{
    shared_updates updates;
    for (const auto &tally : wire.tallies()) {
        updates.tallies.push_back({tally.root(), {}});
        for (const auto &count : tally.counts())
            updates.tallies.back().counts.push_back(readCount(count));
    }
    updates.haltedVersions.assign(wire.halted_versions().begin(), wire.halted_versions().end());
    updates.quarantined.assign(wire.quarantined().begin(), wire.quarantined().end());
    updates.crashed.assign(wire.crashed().begin(), wire.crashed().end());
    return updates;
}

template <typename message>
void writeConfig(const config_content &config, message &wire)
{
    wire.mutable_changes()->Add(config.changes.begin(), config.changes.end());
    wire.set_document(config.document);
}

template <typename message>
config_content readConfig(const message &wire)
{
    return {{wire.changes().begin(), wire.changes().end()}, wire.document()};
}

template <typename entries>
void writeDemand(const demand_map &demand, entries &wire)
{
    for (const auto &[account, milli] : demand) {
        auto &target = *wire.Add();
        target.set_account(account);
        target.set_demand_milli(milli);
    }
}

template <typename entries>
demand_map readDemand(const entries &wire)
{
    demand_map demand;
    for (const auto &entry : wire)
        demand[entry.account()] = entry.demand_milli();
    return demand;
}

} // namespace

exchange_request toWire(const exchange_call &call)
{
    exchange_request wire;
    wire.set_host(call.host);
    wire.set_generation(call.generation);
    wire.set_echoed_clock_us(static_cast<std::uint64_t>(call.echoedClock.count()));
    for (const auto &group : call.acknowledgements)
        writeAcknowledgements(group, wire);
    wire.set_delta_sequence(call.deltaSequence);
    for (const auto &count : call.delta)
        writeCount(count, *wire.add_delta());
    writeShared(call.shared, wire);
    writeDemand(call.demand, *wire.mutable_demand());
    wire.set_seen_news(call.seenUpdate);
    wire.set_probe(call.isProbe);
    writeConfig(call.config, wire);
    return wire;
}

exchange_call fromWire(const exchange_request &wire)
{
    exchange_call call;
    call.host = wire.host();
    call.generation = wire.generation();
    call.echoedClock = instant(wire.echoed_clock_us());
    for (const auto &group : wire.vouches())
        call.acknowledgements.push_back({unpackBits(group.members(), group.skipped_bytes()), instant(group.lag_us())});
    call.deltaSequence = wire.delta_sequence();
    for (const auto &count : wire.delta())
        call.delta.push_back(readCount(count));
    call.shared = readShared(wire);
    call.demand = readDemand(wire.demand());
    call.seenUpdate = wire.seen_news();
    call.isProbe = wire.probe();
    call.config = readConfig(wire);
    return call;
}

exchange_reply toWire(const exchange_response &response)
{
    exchange_reply wire;
    wire.set_generation(response.generation);
    wire.set_clock_us(static_cast<std::uint64_t>(response.clock.count()));
    wire.set_held_us(static_cast<std::uint64_t>(response.waitTime.count()));
    if (response.stampAge)
        wire.set_stamp_age_us(static_cast<std::uint64_t>(std::max(response.stampAge->count(), instant::rep{0})));
    writeConfig(response.config, wire);
    wire.set_taken_delta_sequence(response.appliedDeltaSequence);
    writeShared(response.shared, wire);
    writeDemand(response.demandTotals, *wire.mutable_demand_totals());
    if (response.acknowledged)
        wire.set_acknowledged(packBits(*response.acknowledged));
    wire.set_news(response.lastUpdate);
    wire.set_unknown_child(response.isUnknownChild);
    return wire;
}

exchange_response fromWire(const exchange_reply &wire)
{
    exchange_response response;
    response.generation = wire.generation();
    response.clock = instant(wire.clock_us());
    response.waitTime = instant(wire.held_us());
    if (wire.has_stamp_age_us())
        response.stampAge = instant(wire.stamp_age_us());
    response.config = readConfig(wire);
    response.appliedDeltaSequence = wire.taken_delta_sequence();
    response.shared = readShared(wire);
    response.demandTotals = readDemand(wire.demand_totals());
    if (wire.has_acknowledged())
        response.acknowledged = unpackBits(wire.acknowledged());
    response.lastUpdate = wire.news();
    response.isUnknownChild = wire.unknown_child();
    return response;
}

} // namespace foxtaildyke
