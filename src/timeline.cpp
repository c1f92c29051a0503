// Timeline of a deployment; see timeline_p.h.
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
    constexpr std::array<std::string_view, 3> kNumberKeys{"time_us", "seq", "generation"};
    return std::ranges::find(kNumberKeys, key) != kNumberKeys.end()
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

/// Events of one run of a process, ordered by sequence number.
struct event_stream {
    std::vector<std::size_t> events; ///< indices into the list of all events
    std::size_t next = 0;

    [[nodiscard]] bool isDone() const { return next == events.size(); }
    [[nodiscard]] std::size_t head() const { return events[next]; }
};

/// Merges event streams; an event is not placed before the events that caused it.
class stream_merger
{
public:
    explicit stream_merger(std::vector<timeline_event> events)
        : m_events(std::move(events))
        , m_causes(m_events.size())
        , m_placed(m_events.size(), false)
        , m_minTimeUs(m_events.size())
    {
        splitStreams();
        linkCauses();
    }

    std::vector<timeline_event> run()
    {
        std::vector<timeline_event> ordered;
        ordered.reserve(m_events.size());
        for (std::size_t i = 0; i < m_streams.size(); ++i)
            enqueueHead(i);
        while (ordered.size() < m_events.size())
            ordered.push_back(emitHead(popNextStream()));
        return ordered;
    }

private:
    /// Sort key of stream heads that may be placed next: time, host, sequence number, stream index.
    using order_key = std::tuple<std::int64_t, std::string, std::uint64_t, std::size_t>;

    /// A restarted process begins at sequence number 1 again; this starts a new stream that follows the old one.
    void splitStreams()
    {
        std::map<std::pair<std::string, std::string>, std::size_t> latestStream;
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const auto &event = m_events[i];
            const auto found = latestStream.find({event.host, event.process});
            const bool isRestart = event.sequence == 1 && found != latestStream.end();
            if (found == latestStream.end() || isRestart) {
                if (isRestart)
                    m_causes[i].push_back(m_streams[found->second].events.back());
                latestStream[{event.host, event.process}] = m_streams.size();
                m_streams.emplace_back();
            }
            m_streams[latestStream.at({event.host, event.process})].events.push_back(i);
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
                addCausesOfOtherStreams(i, dispatch->second);
        }
    }

    /// Links causes from other processes only. Within a stream, sequence numbers define the order: a request id may be
    /// reused after its first response.
    void addCausesOfOtherStreams(std::size_t effect, const std::vector<std::size_t> &causes)
    {
        for (const auto cause : causes) {
            if (m_events[cause].process != m_events[effect].process)
                m_causes[effect].push_back(cause);
        }
    }

    /// Adds the head of a stream to the ready heads, or blocks the stream until a missing cause has been placed.
    void enqueueHead(std::size_t streamIndex)
    {
        const auto &stream = m_streams[streamIndex];
        if (stream.isDone())
            return;
        const auto index = stream.head();
        const auto isUnplaced = [this](std::size_t cause) {
            return !m_placed[cause];
        };
        const auto unplacedCause = std::ranges::find_if(m_causes[index], isUnplaced);
        if (unplacedCause != m_causes[index].end()) {
            m_streamsByCause[*unplacedCause].push_back(streamIndex);
            m_blockedStreams.insert(streamIndex);
            return;
        }
        m_blockedStreams.erase(streamIndex);
        const auto &event = m_events[index];
        m_readyHeads.emplace(std::max(event.timeUs, m_minTimeUs[index]), event.host, event.sequence, streamIndex);
    }

    /// @returns the stream whose head is placed next. If the causes form a cycle and every stream is blocked, the one
    /// with the earliest head continues.
    std::size_t popNextStream()
    {
        if (!m_readyHeads.empty()) {
            const auto streamIndex = std::get<3>(*m_readyHeads.begin());
            m_readyHeads.erase(m_readyHeads.begin());
            return streamIndex;
        }
        const auto timeOf = [this](std::size_t streamIndex) {
            return m_events[m_streams[streamIndex].head()].timeUs;
        };
        const auto earliest = *std::ranges::min_element(m_blockedStreams, {}, timeOf);
        m_blockedStreams.erase(earliest);
        return earliest;
    }

    timeline_event &emitHead(std::size_t streamIndex)
    {
        auto &stream = m_streams[streamIndex];
        const auto index = stream.head();
        auto &event = m_events[index];
        event.orderUs = std::max(event.timeUs, m_minTimeUs[index]);
        m_placed[index] = true;
        ++stream.next;
        if (!stream.isDone())
            raiseMinTime(stream.head(), event.orderUs);
        wakeWaitingStreams(index, event.orderUs);
        if (!m_blockedStreams.contains(streamIndex))
            enqueueHead(streamIndex);
        return event;
    }

    void raiseMinTime(std::size_t index, std::int64_t until)
    {
        m_minTimeUs[index] = std::max(m_minTimeUs[index], until);
    }

    /// Enqueues the heads of the streams that waited for an event.
    void wakeWaitingStreams(std::size_t index, std::int64_t time)
    {
        const auto waiting = m_streamsByCause.find(index);
        if (waiting == m_streamsByCause.end())
            return;
        const auto waitingStreams = std::move(waiting->second);
        m_streamsByCause.erase(waiting);
        for (const auto streamIndex : waitingStreams) {
            // The stream has already continued without this cause, to break a cycle.
            if (!m_blockedStreams.contains(streamIndex))
                continue;
            raiseMinTime(m_streams[streamIndex].head(), time);
            enqueueHead(streamIndex);
        }
    }

    std::vector<timeline_event> m_events;
    std::vector<std::vector<std::size_t>> m_causes; ///< by event: events of other streams that precede it
    std::vector<bool> m_placed;
    std::vector<std::int64_t> m_minTimeUs; ///< by event: lower bound of its time, from the events placed before it
    std::vector<event_stream> m_streams;
    std::set<order_key> m_readyHeads; ///< heads whose causes have all been placed
    std::set<std::size_t> m_blockedStreams; ///< streams whose head waits for a cause
    /// Blocked streams by the event that they wait for.
    std::unordered_map<std::size_t, std::vector<std::size_t>> m_streamsByCause;
};

std::string formatTime(std::int64_t unixUs)
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
    return stream_merger(std::move(events)).run();
}

bool matches(const timeline_event &event, const timeline_filter &filter)
{
    const auto matchesField = [](const std::string &wanted, const std::string &value) {
        return wanted.empty() || wanted == value;
    };
    return matchesField(filter.requestId, event.requestId) && matchesField(filter.sessionId, event.sessionId)
        && matchesField(filter.version, event.version) && matchesField(filter.host, event.host)
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

std::map<std::string, std::uint64_t> countStoreCalls(const std::vector<timeline_event> &events)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto &event : events) {
        if (event.type != "store_calls")
            continue;
        for (const auto &[cause, text] : event.details)
            if (const auto count = json::parse(text, nullptr, false); count.is_number_unsigned())
                counts[cause] += count.get<std::uint64_t>();
    }
    return counts;
}

std::string formatEventText(const timeline_event &event)
{
    auto text = formatTime(event.orderUs) + ' ' + event.host + ' ' + event.process + '#'
        + std::to_string(event.sequence) + ' ' + event.type;
    for (const auto &field : kTextFields) {
        const bool isInPrefix = field.member == &timeline_event::host || field.member == &timeline_event::process
            || field.member == &timeline_event::type;
        const auto &value = event.*field.member;
        if (!isInPrefix && !value.empty())
            text.append(" ").append(field.key).append("=").append(json(value).dump());
    }
    if (event.generation > 0)
        text += " generation=" + std::to_string(event.generation);
    for (const auto &[key, value] : event.details)
        text.append(" ").append(key).append("=").append(value);
    if (event.orderUs != event.timeUs)
        text += " clock=" + formatTime(event.timeUs);
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
