// Reads the settings of an experiment; see load_experiment.h.
#include "load_experiment.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <sstream>

namespace foxtaildyke::load
{

namespace
{

using section_keys = std::map<std::string, std::string>;

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

/// Converts the text of a setting and assigns the value. @returns false if the text is invalid.
template <typename number>
bool assign(number &target, const std::string &text) requires std::is_arithmetic_v<number>
{
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, target);
    return read.ec == std::errc() && read.ptr == end;
}

bool assign(bool &target, const std::string &text)
{
    target = text == "true";
    return target || text == "false";
}

bool assign(std::string &target, const std::string &text)
{
    target = text;
    return true;
}

bool assign(std::vector<std::string> &target, const std::string &text)
{
    target = splitWords(text);
    return !target.empty();
}

bool assign(start_rule &target, const std::string &text)
{
    const auto found = valueOf<start_rule>(text);
    target = found.value_or(target);
    return found.has_value();
}

/// Reads the keys of one section into fields and retains the first error.
class section_reader
{
public:
    section_reader(std::string name, const section_keys &keys)
        : m_name(std::move(name))
        , m_keys(keys)
    {
    }

    template <typename value_type>
    section_reader &read(const std::string &key, value_type &target)
    {
        const auto found = m_keys.find(key);
        if (found == m_keys.end())
            return *this;
        if (!assign(target, found->second) && !m_error)
            m_error = error{error_code::value_out_of_range, m_name + "/" + key};
        m_keys.erase(found);
        return *this;
    }

    /// @returns an error for a value that could not be read, or for a key not requested by any read().
    [[nodiscard]] std::optional<error> finish() const
    {
        if (m_error || m_keys.empty())
            return m_error;
        return error{error_code::unknown_key, m_name + "/" + m_keys.begin()->first};
    }

private:
    std::string m_name;
    section_keys m_keys; ///< not yet read
    std::optional<error> m_error;
};

std::optional<error> readExperiment(experiment &target, const std::string &name, const section_keys &keys)
{
    section_reader reader(name, keys);
    reader.read("title", target.title)
        .read("reference", target.reference)
        .read("seed", target.seed)
        .read("repeats", target.repeats);
    reader.read("duration_s", target.durationSeconds).read("warmup_s", target.warmupSeconds);
    reader.read("relay_ms", target.relayMs).read("share_evidence", target.shareEvidence);
    reader.read("affinity", target.affinity).read("start_rule", target.startRule);
    reader.read("rating_ms", target.ratingMs).read("ledger_ms", target.ledgerMs);
    reader.read("load_report_ms", target.loadReportMs).read("host_list_ms", target.hostListMs);
    reader.read("correlation", target.correlation).read("routers", target.routers);
    return reader.finish();
}

std::optional<error> readWorkload(experiment &target, const std::string &name, const section_keys &keys)
{
    workload entry;
    entry.name = name.substr(name.find(' ') + 1);
    section_reader reader(name, keys);
    reader.read("kind", entry.kind).read("accounts", entry.accounts).read("rate_per_s", entry.ratePerSecond);
    reader.read("session_length", entry.sessionLength).read("think_s", entry.thinkSeconds);
    reader.read("prompt_tokens", entry.promptTokens).read("prefix_tokens", entry.prefixTokens);
    reader.read("prefix_groups", entry.prefixGroups).read("completion_tokens", entry.completionTokens);
    reader.read("deadline_ms", entry.timeoutMs).read("resends", entry.maxRetries);
    reader.read("duplicate_permille", entry.duplicatePermille);
    target.workloads.push_back(entry);
    return reader.finish();
}

std::optional<error> readPool(experiment &target, const std::string &name, const section_keys &keys)
{
    pool entry;
    entry.service = name.substr(name.find(' ') + 1);
    section_reader reader(name, keys);
    reader.read("versions", entry.versions).read("replicas", entry.replicas).read("slots", entry.slots);
    reader.read("queue_limit", entry.queueLimit).read("token_ms", entry.tokenMs);
    reader.read("prefill_ms_per_1k", entry.prefillMsPer1k).read("cached_prefixes", entry.cachedPrefixes);
    reader.read("failure_domains", entry.failureDomains);
    target.pools.push_back(entry);
    return reader.finish();
}

std::optional<error> readEvent(experiment &target, const std::string &name, const section_keys &keys)
{
    timed_event entry;
    section_reader reader(name, keys);
    reader.read("at_s", entry.atSeconds).read("type", entry.type).read("version", entry.version);
    reader.read("kind", entry.kind).read("meets_permille", entry.meetsPermille).read("upstream", entry.upstream);
    reader.read("up", entry.up).read("state", entry.state).read("share_permille", entry.sharePermille);
    target.events.push_back(entry);
    return reader.finish();
}

/// Section "quality VERSION": the key `default`, or a kind.
std::optional<error> readQuality(experiment &target, const std::string &name, const section_keys &keys)
{
    const auto version = name.substr(name.find(' ') + 1);
    for (const auto &[kind, text] : keys) {
        if (!assign(target.quality[{version, kind == "default" ? "" : kind}], text))
            return error{error_code::value_out_of_range, std::string(name).append("/").append(kind)};
    }
    return std::nullopt;
}

using section_function = std::optional<error> (*)(experiment &, const std::string &, const section_keys &);

struct section_row {
    std::string_view type;
    section_function read;
};

constexpr std::array kSections{section_row{"experiment", readExperiment}, section_row{"workload", readWorkload},
                               section_row{"pool", readPool}, section_row{"event", readEvent},
                               section_row{"quality", readQuality}};

std::optional<error> applyOverrides(ini_document &document, const arm &chosen)
{
    for (const auto &[path, value] : chosen.overrides) {
        const auto slash = path.rfind('/');
        if (slash == std::string::npos)
            return error{error_code::unknown_key, "arm " + chosen.name + "/" + path};
        document[path.substr(0, slash)][path.substr(slash + 1)] = value;
    }
    return std::nullopt;
}

std::optional<error> checkReferences(const experiment &target)
{
    for (const auto &entry : target.workloads) {
        if (!target.config.kindByName(entry.kind).isValid())
            return error{error_code::unknown_reference, "workload " + entry.name + "/kind"};
        const bool known = !entry.accounts.empty() && std::ranges::all_of(entry.accounts, [&](const auto &account) {
            return target.config.accountByName(account).isValid();
        });
        if (!known)
            return error{error_code::unknown_reference, "workload " + entry.name + "/accounts"};
    }
    return std::nullopt;
}

} // namespace

result<settings_file> readSettings(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        return error{error_code::io_failure, path};
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    auto parsed = parseIni(text);
    if (parsed.has_error())
        return parsed.error();
    settings_file file;
    for (auto &[name, keys] : parsed.value()) {
        if (name.starts_with("arm "))
            file.arms.push_back({name.substr(4), keys});
        else
            file.base[name] = keys;
    }
    if (file.arms.empty())
        file.arms.push_back({"base", {}});
    return file;
}

result<experiment> buildExperiment(const settings_file &file, const arm &chosen)
{
    auto document = file.base;
    if (const auto failure = applyOverrides(document, chosen))
        return *failure;
    experiment built;
    config_layers layers;
    for (const auto &[name, keys] : document) {
        const auto type = name.substr(0, name.find(' '));
        const auto row = std::ranges::find(kSections, type, &section_row::type);
        if (row == kSections.end()) {
            layers.base[name] = keys;
            continue;
        }
        if (const auto failure = row->read(built, name, keys))
            return *failure;
    }
    auto config = buildRouterConfig(layers, 1, "");
    if (config.has_error())
        return config.error();
    built.config = std::move(config.value());
    built.config.tune.startRule = built.startRule;
    if (const auto failure = checkReferences(built))
        return *failure;
    return built;
}

} // namespace foxtaildyke::load
