// Parses INI text with inih and formats it; see settings_p.h.
#include "settings_table_p.h"

#include <ini.h>

#include <cstring>

namespace foxtaildyke
{

namespace
{

// inih truncates names of sections and keys to 49 characters and splits lines at its buffer size, both without an
// error.
constexpr std::size_t kMaxNameLength = 49;
constexpr std::size_t kWrapColumn = 120;

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\r';
}

std::string collapseSpaces(std::string_view text)
{
    std::string words;
    for (const auto word : splitWords(text))
        words.append(words.empty() ? "" : " ").append(word);
    return words;
}

/// Supplies lines to inih and collects the keys and errors. Tracks the current line, which inih does not report to its
/// callbacks.
struct ini_reader_state {
    std::string_view remaining;
    std::string_view line;
    int lineNumber = 0;
    int firstError = 0;
    int emptyHeader = 0; ///< line of the first section without keys; reported only where there is no other error
    int openHeader = 0; ///< line of the current section header while the section has no key; otherwise 0
    bool hasKey = false; ///< whether the current section has a key, so that an indented line continues its value
    ini_document document;

    void recordError(int number)
    {
        if (firstError == 0)
            firstError = number;
    }

    [[nodiscard]] bool isContinuation() const { return !line.empty() && isSpace(line.front()); }

    void closeHeader()
    {
        if (emptyHeader == 0)
            emptyHeader = openHeader;
        openHeader = 0;
    }

    void recordHeader()
    {
        const auto text = line.substr(std::min(line.find_first_not_of(" \t"), line.size()));
        if (!text.starts_with('[') || (isContinuation() && hasKey))
            return;
        closeHeader();
        openHeader = lineNumber;
        hasKey = false;
        if (text.find(']') == std::string_view::npos || text.find(']') > kMaxNameLength)
            recordError(lineNumber);
    }

    char *next(char *buffer, int size)
    {
        if (remaining.empty())
            return nullptr;
        const auto end = std::min(remaining.find('\n'), remaining.size());
        line = remaining.substr(0, end);
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
        ++lineNumber;
        recordHeader();
        const auto capacity = static_cast<std::size_t>(size) - 3;
        if (line.size() > capacity)
            recordError(lineNumber);
        const auto copied = std::min(line.size(), capacity);
        std::memcpy(buffer, line.data(), copied);
        std::memcpy(buffer + copied, "\n", 2);
        return buffer;
    }

    bool addKey(std::string_view section, std::string_view key, std::string_view value)
    {
        openHeader = 0;
        hasKey = true;
        const auto text = collapseSpaces(value);
        if (section.empty() || key.empty() || key.size() >= kMaxNameLength || !isCanonicalValue(text))
            return false;
        auto &keys = document[collapseSpaces(section)];
        const auto [entry, isNew] = keys.try_emplace(std::string(key), text);
        if (isNew)
            return !isContinuation();
        if (!isContinuation())
            return false;
        entry->second = collapseSpaces(entry->second + ' ' + text);
        return true;
    }
};

char *readLine(char *buffer, int size, void *stream)
{
    return static_cast<ini_reader_state *>(stream)->next(buffer, size);
}

int handleKey(void *user, const char *section, const char *name, const char *value)
{
    return static_cast<ini_reader_state *>(user)->addKey(section, name, value) ? 1 : 0;
}

/// Appends "key = value"; wraps long values onto indented lines.
void appendKey(std::string &text, std::string_view key, std::string_view value)
{
    text.append(key).append(" =");
    std::size_t column = key.size() + 2;
    for (const auto word : splitWords(value)) {
        if (column + 1 + word.size() > kWrapColumn && column > key.size() + 2) {
            text.append("\n   ");
            column = 3;
        }
        text.append(" ").append(word);
        column += 1 + word.size();
    }
    text.append("\n");
}

} // namespace

result<ini_document> parseIni(std::string_view text)
{
    ini_reader_state state;
    state.remaining = text;
    if (text.find('\0') != std::string_view::npos)
        return error{error_code::invalid_syntax, "line 1"};
    const int errorLine = ini_parse_stream(readLine, &state, handleKey, &state);
    state.closeHeader();
    if (errorLine != 0 && (state.firstError == 0 || errorLine < state.firstError))
        state.firstError = errorLine;
    state.recordError(state.emptyHeader);
    if (state.firstError != 0)
        return error{error_code::invalid_syntax, "line " + std::to_string(state.firstError)};
    return std::move(state.document);
}

std::string formatIni(const ini_document &document)
{
    std::string text;
    for (const auto &[section, keys] : document) {
        if (keys.empty())
            continue;
        text.append(text.empty() ? "[" : "\n[").append(section).append("]\n");
        for (const auto &[key, value] : keys)
            appendKey(text, key, value);
    }
    return text;
}

} // namespace foxtaildyke
