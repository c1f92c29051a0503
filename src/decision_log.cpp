// Structured decision log; see decision_log_p.h.
#include "decision_log_p.h"

#include "fatal_signal_p.h"
#include "gateway_clock_p.h"
#include "log_output_p.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

/// Passes the messages of a logger to a sink.
class sink_appender : public log4cxx::AppenderSkeleton
{
public:
    explicit sink_appender(line_sink &sink)
        : m_sink(sink)
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        m_sink.write(event->getRenderedMessage() + '\n');
    }
    void close() override { }
    [[nodiscard]] bool requiresLayout() const override { return false; }

private:
    line_sink &m_sink;
};

std::string_view requestIdOf(const nlohmann::ordered_json &fields)
{
    const auto found = fields.find("request_id");
    const auto *id = found != fields.end() ? found->get_ptr<const std::string *>() : nullptr;
    return id ? std::string_view(*id) : std::string_view();
}

} // namespace

decision_log::decision_log(std::string host, const std::string &path, std::uint32_t linesPerSecond)
    : m_host(std::move(host))
    , m_loggerName("decisions." + m_host)
    , m_linesPerSecond(linesPerSecond)
    , m_tokens(linesPerSecond)
    , m_refilledAt(suspendAwareNow())
    , m_sink(path)
{
    const auto logger = log4cxx::Logger::getLogger(m_loggerName);
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->setLevel(log4cxx::Level::getInfo());
    logger->addAppender(std::make_shared<sink_appender>(m_sink));
}

decision_log::~decision_log()
{
    if (!m_isClosed)
        std::ignore = end(std::nullopt);
}

bool decision_log::close(std::chrono::milliseconds limit)
{
    return m_isClosed || end(limit);
}

bool decision_log::end(std::optional<std::chrono::milliseconds> limit)
{
    m_isClosed = true;
    log4cxx::Logger::getLogger(m_loggerName)->removeAllAppenders();
    return m_sink.drain(limit);
}

bool decision_log::tryConsumeToken(instant now, log_subject subject)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_linesPerSecond, m_tokens + elapsed * m_linesPerSecond);
    const double reserve = subject == log_subject::request ? kProcessShare * m_linesPerSecond : 0;
    if (m_tokens < reserve + 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool decision_log::hasRoom(log_subject subject)
{
    constexpr auto kRequestLines =
        static_cast<std::size_t>((1 - kProcessShare) * static_cast<double>(line_sink::kMaxQueuedLines));
    const auto limit = subject == log_subject::request ? kRequestLines : line_sink::kMaxQueuedLines;
    if (m_sink.queuedLines() >= limit)
        m_sink.flush();
    return m_sink.queuedLines() < limit;
}

void decision_log::countDropped(std::size_t lines)
{
    m_dropped += lines;
    m_droppedTotal += lines;
}

void decision_log::write(std::string_view event, const nlohmann::ordered_json &fields, log_subject subject)
{
    const auto now = suspendAwareNow();
    keepForFatalReport(event, requestIdOf(fields), now);
    if (m_isClosed)
        return;
    countDropped(m_sink.takeLostLines());
    if (!hasRoom(subject) || !tryConsumeToken(now, subject))
        return countDropped(1);
    nlohmann::ordered_json line{{"time_us", unixMicroseconds()},
                                {"process", "gateway"},
                                {"host", m_host},
                                {"seq", m_nextSequence++},
                                {"event", event}};
    if (m_dropped > 0)
        line["dropped_before"] = std::exchange(m_dropped, 0);
    line.update(fields);
    static const auto s_info = log4cxx::Level::getInfo();
    log4cxx::Logger::getLogger(m_loggerName)
        ->log(s_info, line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace),
              log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace foxtaildyke
