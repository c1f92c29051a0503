// Generates the Markdown reference of all settings from the key table; see settings_p.h. docs/SETTINGS.md is its
// output.
#include "settings_table_p.h"

#include <cstdio>

namespace foxtaildyke
{

namespace
{

std::string numberText(double value)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.12g", value);
    return {text.data(), static_cast<std::size_t>(size)};
}

/// Formats a default value.
struct value_writer {
    std::string operator()(const std::string &value) const { return value; }
    std::string operator()(double value) const { return numberText(value); }
    std::string operator()(std::uint32_t value) const { return std::to_string(value); }
    std::string operator()(std::uint16_t value) const { return std::to_string(value); }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(std::chrono::milliseconds value) const { return std::to_string(value.count()); }
    std::string operator()(std::chrono::seconds value) const { return std::to_string(value.count()); }
    std::string operator()(request_class value) const { return std::string(nameOf(value)); }
    std::string operator()(version_state value) const { return std::string(nameOf(value)); }
    template <typename reference>
    std::string operator()(const reference &) const
    {
        return "none";
    }
};

template <typename entry>
std::string defaultText(const key_row<entry> &row)
{
    if (row.required)
        return "required";
    const entry initial{};
    return std::visit(
        [&](auto member) {
            if constexpr (std::is_same_v<decltype(member), double objective_weights::*>)
                return value_writer{}(objective_weights{}.*member);
            else
                return value_writer{}(initial.*member);
        },
        row.field);
}

template <typename entry>
std::string rangeText(const key_row<entry> &row)
{
    if (row.minimum == 0 && row.maximum == 0)
        return "-";
    const auto range = numberText(row.minimum) + " to " + numberText(row.maximum);
    if (row.unit == "text" || row.unit == "name" || row.unit == "IP address")
        return range + " characters";
    return row.unit == "names" ? range + " names" : range;
}

template <typename entry>
void appendSection(std::string &text, bool isNamed)
{
    using table = section_table<entry>;
    text.append("\n## `[").append(table::kSection).append(isNamed ? " NAME]`\n\n" : "]`\n\n");
    text.append(table::kMeaning).append("\n\n");
    text.append("| Key | Unit | Range | Default | Overlay | Meaning |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const auto &row : table::kRows) {
        text.append("| `").append(row.key).append("` | ").append(row.unit);
        text.append(" | ").append(rangeText(row)).append(" | ").append(defaultText(row));
        text.append(" | ").append(nameOf(row.overlay)).append(" | ").append(row.meaning).append(" |\n");
    }
}

constexpr std::string_view kIntroduction =
    R"(# Settings

Written by `foxtaildyke-ctl --help-settings` from the key table in `src/settings_table_p.h`; don't edit it.

These are the sections of the published configuration. A file is INI text in printable ASCII. Lines that start with `;`
or `#` are comments. A long value goes on in the next line if that line is indented. A line has at most 197 characters,
a NAME at most 40 (letters, digits, `.`, `_`, `-`). Every unknown section or key, value out of range and reference to an
entry that does not exist is an error that names the field.

The base settings hold everything; an overlay (`FAILURE-DOMAIN.ini`) changes keys of existing sections for the hosts of
one failure domain. The column Overlay says how far: `fixed` keys must be as in the base, `free` keys may differ, others
may only be lowered, only leave out names, only change to false, or only move towards withdrawn
(active, rolling_out, halted, withdrawn).
)";

} // namespace

std::string settingsReference()
{
    std::string text(kIntroduction);
    appendSection<account_config>(text, true);
    appendSection<model_config>(text, true);
    appendSection<version_config>(text, true);
    appendSection<kind_config>(text, true);
    appendSection<host_config>(text, true);
    appendSection<tuning>(text, false);
    return text;
}

} // namespace foxtaildyke
