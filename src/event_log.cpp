// Event log through log4cxx; see event_log_p.h.
#include "event_log_p.h"

#include "log_output_p.h"

#include <log4cxx/logger.h>
#include <nlohmann/json.hpp>

namespace foxtaildyke
{

namespace
{

struct text_field {
    const char *key;
    std::string record_event::*member;
};

constexpr std::array kTextFields{
    text_field{"request_id", &record_event::requestId}, text_field{"session_id", &record_event::sessionId},
    text_field{"account", &record_event::account},      text_field{"version", &record_event::version},
    text_field{"upstream", &record_event::upstream},    text_field{"reason", &record_event::reason},
};

} // namespace

std::string formatEvent(const record_event &event, std::string_view process, std::string_view host,
                        std::uint64_t sequence, std::int64_t unixMicroseconds)
{
    nlohmann::ordered_json line{
        {"time_us", unixMicroseconds}, {"process", process}, {"host", host}, {"seq", sequence}, {"event", event.type}};
    for (const auto &field : kTextFields)
        if (!(event.*field.member).empty())
            line[field.key] = event.*field.member;
    if (event.generation > 0)
        line["generation"] = event.generation;
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

event_log::event_log(std::string process, std::string host, const std::string &path)
    : m_process(std::move(process))
    , m_host(std::move(host))
    , m_loggerName("events." + m_process + '.' + m_host)
{
    const auto logger = log4cxx::Logger::getLogger(m_loggerName);
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->setLevel(log4cxx::Level::getInfo());
    logger->addAppender(makeLineAppender(path));
}

void event_log::write(const record_event &event)
{
    static const auto s_info = log4cxx::Level::getInfo();
    const std::lock_guard guard(m_mutex);
    const auto line = formatEvent(event, m_process, m_host, m_nextSequence++, unixMicroseconds());
    log4cxx::Logger::getLogger(m_loggerName)->log(s_info, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

void event_log::recordEvent(std::string type, std::string reason, generation_number generation)
{
    record_event event;
    event.type = std::move(type);
    event.reason = std::move(reason);
    event.generation = generation;
    write(event);
}

} // namespace foxtaildyke
