// Structured decision log; see decision_log_p.h.
#include "decision_log_p.h"

#include "fatal_signal_p.h"
#include "gateway_clock_p.h"
#include "log_output_p.h"

#include <future>
#include <log4cxx/asyncappender.h>
#include <log4cxx/logger.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace foxtaildyke
{

namespace
{

constexpr int kMaxQueuedLines =
    512; ///< lines buffered for a slow sink; log4cxx discards further ones and logs a summary

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
{
    const auto logger = log4cxx::Logger::getLogger(m_loggerName);
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(kMaxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(makeLineAppender(path));
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->setLevel(log4cxx::Level::getInfo());
    logger->addAppender(queue);
}

decision_log::~decision_log()
{
    if (m_isClosed)
        return;
    // Waits for the sink: the thread that writes must not outlive the logger's static objects.
    const auto logger = log4cxx::Logger::getLogger(m_loggerName);
    for (const auto &appender : logger->getAllAppenders())
        appender->close();
    logger->removeAllAppenders();
}

bool decision_log::close(std::chrono::milliseconds limit)
{
    if (std::exchange(m_isClosed, true))
        return true;
    const auto logger = log4cxx::Logger::getLogger(m_loggerName);
    // Closing waits for the sink, which may be a pipe that nobody reads.
    std::packaged_task<void()> closing([appenders = logger->getAllAppenders()] {
        for (const auto &appender : appenders)
            appender->close();
    });
    auto closed = closing.get_future();
    std::thread thread(std::move(closing));
    if (closed.wait_for(limit) != std::future_status::ready) {
        thread.detach();
        return false;
    }
    // The thread holds references to the appenders a little longer; the last one must not end beside static objects.
    thread.join();
    logger->removeAllAppenders();
    return true;
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

void decision_log::write(std::string_view event, const nlohmann::ordered_json &fields, log_subject subject)
{
    const auto now = suspendAwareNow();
    keepForFatalReport(event, requestIdOf(fields), now);
    if (!tryConsumeToken(now, subject)) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
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
