// Converts values and checks overlay rules for the table of settings; see settings_table_p.h.
#include "settings_table_p.h"

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <cmath>

namespace foxtaildyke
{

namespace
{

// inih truncates section names, which include the type, to 49 characters.
constexpr std::size_t kMaxEntryNameLength = 40;
// A word is never split over lines, and inih accepts lines of up to 197 characters.
constexpr std::size_t kMaxWordLength = 140;

template <typename number>
bool parseNumber(std::string_view text, number &value)
{
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

bool isInRange(double value, double minimum, double maximum)
{
    return std::isfinite(value) && value >= minimum && value <= maximum;
}

/// Parses one value. Returns an error_code instead of an error, because only the caller knows the name of the field.
struct value_reader {
    std::string_view text;
    double minimum = 0;
    double maximum = 0;
    std::string_view unit;
    const router_config &owner;

    using outcome = std::optional<error_code>;
    static constexpr error_code kOutOfRange = error_code::value_out_of_range;

    outcome operator()(std::string &value) const
    {
        value = text;
        if (!isInRange(static_cast<double>(text.size()), minimum, maximum) || text.find(' ') != std::string_view::npos)
            return kOutOfRange;
        std::array<unsigned char, sizeof(in6_addr)> parsed{};
        const bool isAddress = unit == "IP address";
        if (isAddress && inet_pton(AF_INET, value.c_str(), parsed.data()) != 1
            && inet_pton(AF_INET6, value.c_str(), parsed.data()) != 1)
            return kOutOfRange;
        return std::nullopt;
    }

    template <typename number>
    requires std::is_arithmetic_v<number> outcome operator()(number &value) const
    {
        if (!parseNumber(text, value) || !isInRange(static_cast<double>(value), minimum, maximum))
            return kOutOfRange;
        return std::nullopt;
    }

    outcome operator()(bool &value) const
    {
        value = text == "true";
        return value || text == "false" ? std::nullopt : outcome(kOutOfRange);
    }

    template <typename representation, typename period>
    outcome operator()(std::chrono::duration<representation, period> &value) const
    {
        std::int64_t count = 0;
        const auto failure = (*this)(count);
        value = std::chrono::duration<representation, period>(count);
        return failure;
    }

    template <typename enumeration>
    requires std::is_enum_v<enumeration> outcome operator()(enumeration &value) const
    {
        const auto found = valueOf<enumeration>(text);
        value = found.value_or(value);
        return found ? std::nullopt : outcome(kOutOfRange);
    }

    outcome operator()(model_handle &value) const
    {
        value = owner.modelByName(text);
        return value.isValid() ? std::nullopt : outcome(error_code::unknown_reference);
    }

    outcome operator()(version_handle &value) const
    {
        value = owner.versionByName(text);
        return value.isValid() ? std::nullopt : outcome(error_code::unknown_reference);
    }

    outcome operator()(std::vector<model_handle> &value) const
    {
        for (const auto word : splitWords(text)) {
            const auto model = owner.modelByName(word);
            if (!model.isValid())
                return error_code::unknown_reference;
            if (std::ranges::find(value, model) != value.end())
                return kOutOfRange;
            value.push_back(model);
        }
        return isInRange(static_cast<double>(value.size()), minimum, maximum) ? std::nullopt : outcome(kOutOfRange);
    }

    outcome operator()(std::vector<version_handle> &value) const
    {
        for (const auto word : splitWords(text)) {
            if (!appendVersions(word, value))
                return error_code::unknown_reference;
        }
        std::ranges::sort(value);
        value.erase(std::unique(value.begin(), value.end()), value.end());
        return isInRange(static_cast<double>(value.size()), minimum, maximum) ? std::nullopt : outcome(kOutOfRange);
    }

    /// Appends the version of this name, or all versions of the model of this name.
    bool appendVersions(std::string_view name, std::vector<version_handle> &versions) const
    {
        if (const auto version = owner.versionByName(name); version.isValid()) {
            versions.push_back(version);
            return true;
        }
        const auto model = owner.modelByName(name);
        if (!model.isValid())
            return false;
        const auto &all = owner[model].versions;
        versions.insert(versions.end(), all.begin(), all.end());
        return true;
    }
};

/// @returns the rank of a version state. An overlay may keep or lower the rank, but not raise it.
int rankOf(version_state state)
{
    constexpr std::array kRanks{2, 3, 1, 0}; // rolling_out, active, halted, withdrawn
    return kRanks[static_cast<std::size_t>(state)];
}

template <typename value_type>
bool isLowered(const value_type &base, const value_type &overlaid)
{
    if constexpr (std::is_same_v<value_type, version_state>)
        return rankOf(overlaid) <= rankOf(base);
    else
        return overlaid <= base;
}

template <typename element>
bool isSubset(const std::vector<element> &base, const std::vector<element> &overlaid)
{
    // Compares in order, since the cascade of an overlay must keep the order of the base.
    auto next = base.begin();
    return std::ranges::all_of(overlaid, [&](const element &wanted) {
        next = std::find(next, base.end(), wanted);
        return next != base.end() && (++next, true);
    });
}

template <typename value_type>
bool respects(overlay_rule rule, const value_type &base, const value_type &overlaid)
{
    switch (rule) {
    case overlay_rule::free:
        return true;
    case overlay_rule::lower:
    case overlay_rule::only_false:
    case overlay_rule::state:
        return isLowered(base, overlaid);
    case overlay_rule::subset:
        if constexpr (!std::is_same_v<value_type, std::string> && requires { base.begin(); })
            return isSubset(base, overlaid);
        return false;
    default:
        return base == overlaid;
    }
}

/// Returns the field of an entry. The objective weights are nested in tuning.
template <typename entry, typename field>
auto &fieldOf(entry &target, field member)
{
    if constexpr (std::is_same_v<field, double objective_weights::*>) {
        if constexpr (std::is_same_v<std::remove_const_t<entry>, tuning>)
            return target.weights.*member;
        else
            return target.name; // Never used: no other section has weights.
    } else {
        return target.*member;
    }
}

std::string fieldName(std::string field, const std::string &key)
{
    field += '/';
    return field += key;
}

template <typename entry>
result<void> checkKeys(const std::string &section, const std::map<std::string, std::string> &keys)
{
    const auto &rows = section_table<entry>::kRows;
    for (const auto &[key, value] : keys) {
        if (std::ranges::find(rows, key, &key_row<entry>::key) == rows.end())
            return error{error_code::unknown_key, fieldName(section, key)};
        if (!isCanonicalValue(value))
            return error{error_code::invalid_syntax, fieldName(section, key)};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> checkSection(const std::string &section, const std::map<std::string, std::string> &keys)
{
    const auto [type, name] = splitSection(section);
    const bool isTuning = type == section_table<tuning>::kSection;
    if (isTuning ? !name.empty() : !isEntryName(name))
        return error{error_code::unknown_section, section};
    if (isTuning)
        return checkKeys<tuning>(section, keys);
    if (type == section_table<account_config>::kSection)
        return checkKeys<account_config>(section, keys);
    if (type == section_table<model_config>::kSection)
        return checkKeys<model_config>(section, keys);
    if (type == section_table<version_config>::kSection)
        return checkKeys<version_config>(section, keys);
    if (type == section_table<kind_config>::kSection)
        return checkKeys<kind_config>(section, keys);
    if (type == section_table<host_config>::kSection)
        return checkKeys<host_config>(section, keys);
    return error{error_code::unknown_section, section};
}

} // namespace

section_name splitSection(std::string_view section)
{
    const auto space = section.find(' ');
    if (space == std::string_view::npos)
        return {section, {}};
    return {section.substr(0, space), section.substr(space + 1)};
}

bool isEntryName(std::string_view text)
{
    const auto isNameCharacter = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= kMaxEntryNameLength && std::ranges::all_of(text, isNameCharacter);
}

std::vector<std::string_view> splitWords(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t\r\n";
    std::vector<std::string_view> words;
    auto begin = text.find_first_not_of(kBlanks);
    while (begin != std::string_view::npos) {
        const auto end = std::min(text.find_first_of(kBlanks, begin), text.size());
        words.push_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(kBlanks, end);
    }
    return words;
}

bool isCanonicalValue(std::string_view value)
{
    const bool isPrintable = std::ranges::all_of(value, [](unsigned char c) { return c >= ' ' && c < 0x7f; });
    std::size_t length = 0;
    for (const auto word : splitWords(value)) {
        if (word.size() > kMaxWordLength || word.front() == ';' || word.front() == '#')
            return false;
        length += word.size() + 1;
    }
    return isPrintable && (value.empty() || length == value.size() + 1);
}

result<void> checkNames(const ini_document &document)
{
    for (const auto &[section, keys] : document) {
        if (auto checked = checkSection(section, keys); checked.has_error())
            return checked;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <typename entry>
result<void> assignKey(const key_row<entry> &row, entry &target, std::string_view text, const router_config &owner)
{
    const value_reader reader{text, row.minimum, row.maximum, row.unit, owner};
    const auto failure = std::visit([&](auto member) { return reader(fieldOf(target, member)); }, row.field);
    if (failure)
        return error{*failure, std::string(row.key)};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <typename entry>
bool isNarrowing(const key_row<entry> &row, const entry &base, const entry &overlaid)
{
    return std::visit(
        [&](auto member) { return respects(row.overlay, fieldOf(base, member), fieldOf(overlaid, member)); },
        row.field);
}

template result<void> assignKey(const key_row<account_config> &, account_config &, std::string_view,
                                const router_config &);
template result<void> assignKey(const key_row<model_config> &, model_config &, std::string_view, const router_config &);
template result<void> assignKey(const key_row<version_config> &, version_config &, std::string_view,
                                const router_config &);
template result<void> assignKey(const key_row<kind_config> &, kind_config &, std::string_view, const router_config &);
template result<void> assignKey(const key_row<host_config> &, host_config &, std::string_view, const router_config &);
template result<void> assignKey(const key_row<tuning> &, tuning &, std::string_view, const router_config &);
template bool isNarrowing(const key_row<account_config> &, const account_config &, const account_config &);
template bool isNarrowing(const key_row<model_config> &, const model_config &, const model_config &);
template bool isNarrowing(const key_row<version_config> &, const version_config &, const version_config &);
template bool isNarrowing(const key_row<kind_config> &, const kind_config &, const kind_config &);
template bool isNarrowing(const key_row<host_config> &, const host_config &, const host_config &);
template bool isNarrowing(const key_row<tuning> &, const tuning &, const tuning &);

} // namespace foxtaildyke
