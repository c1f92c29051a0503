// Loads of the other hosts; see peer_loads_p.h.
#include "peer_loads_p.h"

#include <nlohmann/json.hpp>
#include <ranges>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::size_t kMostLoads = 4096; ///< replicas in one report
constexpr std::size_t kMostPeers = 1024; ///< hosts in one report

std::optional<replica_load> loadOf(const json &entry)
{
    if (!entry.is_array() || entry.size() != 3 || !entry[0].is_number_unsigned() || !entry[1].is_number()
        || !entry[2].is_number_unsigned())
        return std::nullopt;
    return replica_load{entry[0].get<std::uint64_t>(), entry[1].get<double>(), entry[2].get<std::uint32_t>()};
}

error violation(const char *field)
{
    return {error_code::protocol_violation, field};
}

} // namespace

std::string encodeReport(const load_report &report)
{
    json loads = json::array();
    for (const auto &load : report.loads)
        loads.push_back({load.idHash, static_cast<std::uint32_t>(load.backlogMs), load.running});
    const auto bytes =
        json::to_cbor(json::array({report.address, report.sequence, report.process, report.peers, loads}));
    return {bytes.begin(), bytes.end()};
}

result<load_report> decodeReport(std::string_view bytes)
{
    const auto message = json::from_cbor(bytes, true, false);
    if (!message.is_array() || message.size() != 5)
        return violation("report");
    if (!message[0].is_string() || !message[1].is_number_unsigned() || !message[2].is_number_unsigned())
        return violation("sender");
    if (!message[3].is_array() || message[3].size() > kMostPeers)
        return violation("peers");
    if (!message[4].is_array() || message[4].size() > kMostLoads)
        return violation("loads");
    load_report report{message[0], message[1], message[2], {}, {}};
    for (const auto &peer : message[3])
        if (peer.is_string())
            report.peers.push_back(peer);
    for (const auto &entry : message[4]) {
        const auto load = loadOf(entry);
        if (!load)
            return violation("loads");
        report.loads.push_back(*load);
    }
    return report;
}

peer_loads::peer_loads(std::string address, std::vector<std::string> seeds)
    : m_address(std::move(address))
    , m_seeds(std::move(seeds))
{
}

void peer_loads::take(const load_report &report, instant now)
{
    if (report.address == m_address)
        return;
    auto &known = m_peers[report.address];
    const bool isOlder = known.last.process == report.process && known.last.sequence >= report.sequence;
    known.namedAt = now;
    for (const auto &address : report.peers)
        if (address != m_address)
            m_peers[address].namedAt = now;
    if (isOlder)
        return;
    known.last = report;
    known.heardAt = now;
}

std::vector<replica_load> peer_loads::sums(instant now) const
{
    std::map<std::uint64_t, replica_load> total;
    for (const auto &known : m_peers | std::views::values) {
        const auto age = now - known.heardAt;
        if (known.last.address.empty() || age > kReportLife)
            continue;
        const double ageMs = std::chrono::duration<double, std::milli>(age).count();
        for (const auto &load : known.last.loads) {
            auto &sum = total[load.idHash];
            sum.idHash = load.idHash;
            sum.backlogMs += std::max(0.0, load.backlogMs - ageMs);
            sum.running += load.running;
        }
    }
    std::vector<replica_load> all;
    std::ranges::copy(total | std::views::values, std::back_inserter(all));
    return all;
}

std::vector<std::string> peer_loads::heard(instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, known] : m_peers)
        if (!known.last.address.empty() && now - known.heardAt <= kPeerLife)
            addresses.push_back(address);
    return addresses;
}

std::vector<std::string> peer_loads::targets(instant now)
{
    std::erase_if(m_peers, [now](const auto &entry) { return now - entry.second.namedAt > kPeerLife; });
    std::vector<std::string> known;
    std::ranges::copy(m_peers | std::views::keys, std::back_inserter(known));
    std::vector<std::string> chosen;
    const auto count = std::min(known.size(), kMostTargets);
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(known[(m_turn + i) % known.size()]);
    m_turn += count;
    if (m_seedsAt && now - *m_seedsAt < kSeedInterval)
        return chosen;
    m_seedsAt = now;
    std::ranges::copy_if(m_seeds, std::back_inserter(chosen), [&](const std::string &seed) {
        return seed != m_address && std::ranges::find(chosen, seed) == chosen.end();
    });
    return chosen;
}

} // namespace foxtaildyke
