// Time line of a deployment; see timeline_p.h.
#include "timeline_p.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

struct text_field {
    const char *key;
    std::string timeline_event::*member;
};

constexpr std::array kTextFields{
    text_field{"process", &timeline_event::process},      text_field{"host", &timeline_event::host},
    text_field{"event", &timeline_event::type},           text_field{"request_id", &timeline_event::requestId},
    text_field{"session_id", &timeline_event::sessionId}, text_field{"account", &timeline_event::account},
    text_field{"version", &timeline_event::version},      text_field{"upstream", &timeline_event::upstream},
    text_field{"reason", &timeline_event::reason}};

constexpr std::string_view kPublished = "change_published";
constexpr std::string_view kDispatched = "dispatched";
constexpr std::string_view kFinished = "finished";

bool isKnownKey(std::string_view key)
{
    constexpr std::array<std::string_view, 3> kNumbers{"time_us", "seq", "generation"};
    return std::ranges::find(kNumbers, key) != kNumbers.end()
        || std::ranges::find(kTextFields, key, [](const text_field &field) { return std::string_view(field.key); })
        != kTextFields.end();
}

timeline_event readEvent(const json &line)
{
    timeline_event event;
    event.timeUs = line.at("time_us");
    event.sequence = line.at("seq");
    event.generation = line.value("generation", generation_number{0});
    for (const auto &field : kTextFields)
        event.*field.member = line.value(field.key, "");
    for (const auto &[key, value] : line.items())
        if (!isKnownKey(key) && value.is_primitive())
            event.details.emplace_back(key, value.dump());
    return event;
}

/// Events of one run of one process, in the order of their sequence numbers.
struct event_stream {
    std::vector<std::size_t> events; ///< indexes
    std::size_t next = 0;

    [[nodiscard]] bool isDone() const { return next == events.size(); }
    [[nodiscard]] std::size_t head() const { return events[next]; }
};

/// Merges streams; an event waits until the events that caused it are placed.
class merger
{
public:
    explicit merger(std::vector<timeline_event> events)
        : m_events(std::move(events))
        , m_causes(m_events.size())
        , m_placed(m_events.size(), false)
        , m_startOf(m_events.size())
    {
        splitStreams();
        linkCauses();
    }

    std::vector<timeline_event> run()
    {
        std::vector<timeline_event> ordered;
        ordered.reserve(m_events.size());
        for (std::size_t i = 0; i < m_streams.size(); ++i)
            offer(i);
        while (ordered.size() < m_events.size())
            ordered.push_back(place(takeNext()));
        return ordered;
    }

private:
    /// Position in the order among events that may come next.
    using rank = std::tuple<std::int64_t, std::string, std::uint64_t, std::size_t>;

    /// A process that starts again begins at sequence number 1: that opens a new stream, after the old one.
    void splitStreams()
    {
        std::map<std::pair<std::string, std::string>, std::size_t> last;
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const auto &event = m_events[i];
            const auto found = last.find({event.host, event.process});
            const bool isRestart = event.sequence == 1 && found != last.end();
            if (found == last.end() || isRestart) {
                if (isRestart)
                    m_causes[i].push_back(m_streams[found->second].events.back());
                last[{event.host, event.process}] = m_streams.size();
                m_streams.emplace_back();
            }
            m_streams[last.at({event.host, event.process})].events.push_back(i);
        }
        for (auto &stream : m_streams)
            std::ranges::stable_sort(stream.events, {}, [this](std::size_t i) { return m_events[i].sequence; });
    }

    void linkCauses()
    {
        std::unordered_map<generation_number, std::size_t> published;
        std::unordered_map<std::string, std::vector<std::size_t>> dispatched;
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const auto &event = m_events[i];
            if (event.type == kPublished)
                published.try_emplace(event.generation, i);
            if (event.type == kDispatched && !event.requestId.empty())
                dispatched[event.host + '/' + event.requestId].push_back(i);
        }
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const auto &event = m_events[i];
            const auto cause = published.find(event.generation);
            if (cause != published.end() && event.type != kPublished)
                m_causes[i].push_back(cause->second);
            const auto dispatch = dispatched.find(event.host + '/' + event.requestId);
            if (event.type == kFinished && dispatch != dispatched.end())
                addOtherStreams(i, dispatch->second);
        }
    }

    /// Within one stream the sequence numbers decide: a request id may be used again after its first answer.
    void addOtherStreams(std::size_t effect, const std::vector<std::size_t> &causes)
    {
        for (const auto cause : causes) {
            if (m_events[cause].process != m_events[effect].process)
                m_causes[effect].push_back(cause);
        }
    }

    /// Puts the head of a stream among the events that may come next, or lets it wait for a cause.
    void offer(std::size_t number)
    {
        const auto &stream = m_streams[number];
        if (stream.isDone())
            return;
        const auto index = stream.head();
        const auto isOpen = [this](std::size_t cause) {
            return !m_placed[cause];
        };
        const auto open = std::ranges::find_if(m_causes[index], isOpen);
        if (open != m_causes[index].end()) {
            m_waiting[*open].push_back(number);
            m_blocked.insert(number);
            return;
        }
        m_blocked.erase(number);
        const auto &event = m_events[index];
        m_ready.emplace(std::max(event.timeUs, m_startOf[index]), event.host, event.sequence, number);
    }

    /// @returns the stream whose head comes next. Where all wait for each other the earliest goes first.
    std::size_t takeNext()
    {
        if (!m_ready.empty()) {
            const auto number = std::get<3>(*m_ready.begin());
            m_ready.erase(m_ready.begin());
            return number;
        }
        const auto timeOf = [this](std::size_t number) {
            return m_events[m_streams[number].head()].timeUs;
        };
        const auto earliest = *std::ranges::min_element(m_blocked, {}, timeOf);
        m_blocked.erase(earliest);
        return earliest;
    }

    timeline_event &place(std::size_t number)
    {
        auto &stream = m_streams[number];
        const auto index = stream.head();
        auto &event = m_events[index];
        event.orderUs = std::max(event.timeUs, m_startOf[index]);
        m_placed[index] = true;
        ++stream.next;
        if (!stream.isDone())
            delay(stream.head(), event.orderUs);
        release(index, event.orderUs);
        if (!m_blocked.contains(number))
            offer(number);
        return event;
    }

    void delay(std::size_t index, std::int64_t until) { m_startOf[index] = std::max(m_startOf[index], until); }

    /// Offers the streams that waited for an event.
    void release(std::size_t index, std::int64_t time)
    {
        const auto waiting = m_waiting.find(index);
        if (waiting == m_waiting.end())
            return;
        const auto numbers = std::move(waiting->second);
        m_waiting.erase(waiting);
        for (const auto number : numbers) {
            // A stream that was let through in spite of a missing cause has moved on.
            if (!m_blocked.contains(number))
                continue;
            delay(m_streams[number].head(), time);
            offer(number);
        }
    }

    std::vector<timeline_event> m_events;
    std::vector<std::vector<std::size_t>> m_causes; ///< by event: events of other streams that come before it
    std::vector<bool> m_placed;
    std::vector<std::int64_t> m_startOf; ///< by event: earliest time by the events placed before it
    std::vector<event_stream> m_streams;
    std::set<rank> m_ready; ///< heads without open causes
    std::set<std::size_t> m_blocked; ///< streams whose head waits for a cause
    std::unordered_map<std::size_t, std::vector<std::size_t>> m_waiting; ///< streams by the event they wait for
};

std::string timeText(std::int64_t unixUs)
{
    constexpr std::int64_t kUsPerSecond = 1'000'000;
    const std::time_t seconds = unixUs / kUsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    auto fraction = std::to_string(kUsPerSecond + unixUs % kUsPerSecond).substr(1);
    return std::string(text.data(), size) + fraction + 'Z';
}

} // namespace

void readLog(std::string_view text, timeline_input &input)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.find_first_not_of(" \t\r") == std::string_view::npos)
            continue;
        try {
            input.events.push_back(readEvent(json::parse(line.substr(std::min(line.find('{'), line.size())))));
        } catch (const json::exception &) {
            ++input.damagedLines;
        }
    }
}

std::vector<timeline_event> orderEvents(std::vector<timeline_event> events)
{
    return merger(std::move(events)).run();
}

bool matches(const timeline_event &event, const timeline_filter &filter)
{
    const auto agrees = [](const std::string &wanted, const std::string &value) {
        return wanted.empty() || wanted == value;
    };
    return agrees(filter.requestId, event.requestId) && agrees(filter.sessionId, event.sessionId)
        && agrees(filter.version, event.version) && agrees(filter.host, event.host)
        && (filter.generation == 0 || filter.generation == event.generation);
}

std::map<std::string, std::size_t> countRefusals(const std::vector<timeline_event> &events)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &event : events) {
        const bool isEnd = event.type == "refused" || event.type == kFinished;
        if (isEnd && !event.reason.starts_with(nameOf(outcome_kind::complete)))
            ++counts[event.reason];
    }
    return counts;
}

std::string formatEventText(const timeline_event &event)
{
    auto text = timeText(event.orderUs) + ' ' + event.host + ' ' + event.process + '#' + std::to_string(event.sequence)
        + ' ' + event.type;
    for (const auto &field : kTextFields) {
        const bool isShown = field.member == &timeline_event::host || field.member == &timeline_event::process
            || field.member == &timeline_event::type;
        const auto &value = event.*field.member;
        if (!isShown && !value.empty())
            text.append(" ").append(field.key).append("=").append(json(value).dump());
    }
    if (event.generation > 0)
        text += " generation=" + std::to_string(event.generation);
    for (const auto &[key, value] : event.details)
        text.append(" ").append(key).append("=").append(value);
    if (event.orderUs != event.timeUs)
        text += " clock=" + timeText(event.timeUs);
    return text;
}

std::string formatEventJson(const timeline_event &event)
{
    nlohmann::ordered_json line{{"order_us", event.orderUs}, {"time_us", event.timeUs}, {"seq", event.sequence}};
    for (const auto &field : kTextFields) {
        if (!(event.*field.member).empty())
            line[field.key] = event.*field.member;
    }
    if (event.generation > 0)
        line["generation"] = event.generation;
    for (const auto &[key, value] : event.details)
        line[key] = json::parse(value);
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace foxtaildyke
