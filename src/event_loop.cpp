// Task with a libevent base, a mailbox and timers; see event_loop_p.h.
#include "event_loop_p.h"

#include <event2/event.h>
#include <event2/thread.h>

namespace foxtaildyke
{

namespace
{

timeval toTimeval(std::chrono::microseconds delay)
{
    const auto value = std::max<std::int64_t>(0, delay.count());
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    return {static_cast<time_t>(value / kMicrosecondsPerSecond),
            static_cast<suseconds_t>(value % kMicrosecondsPerSecond)};
}

/// libevent's thread support must be enabled before the first base is created, so that event_active() may be called
/// from other threads.
event_base *newBase()
{
    static const int s_threads = evthread_use_pthreads();
    (void)s_threads;
    // Without the precise timer epoll rounds each delay up to whole milliseconds, which turned 2 ms into about 4 ms.
    auto *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    auto *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

struct one_shot {
    std::function<void()> callback;
};

void runOneShot(evutil_socket_t, short, void *argument)
{
    const std::unique_ptr<one_shot> owned(static_cast<one_shot *>(argument));
    owned->callback();
}

} // namespace

struct event_loop::signal_handler {
    std::function<void()> callback;
    event *registration = nullptr;

    ~signal_handler()
    {
        if (registration)
            event_free(registration);
    }
};

event_loop::event_loop()
    : m_base(newBase())
{
    const auto wake = [](evutil_socket_t, short, void *self) {
        static_cast<event_loop *>(self)->drainMailbox();
    };
    m_wakeup = event_new(m_base, -1, EV_PERSIST, wake, this);
}

event_loop::~event_loop()
{
    m_signals.clear();
    event_free(m_wakeup);
    event_base_free(m_base);
}

void event_loop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    post([this] { event_base_loopbreak(m_base); });
}

void event_loop::post(std::function<void()> message)
{
    bool wasEmpty = false;
    {
        const std::lock_guard guard(m_mailboxLock);
        wasEmpty = m_mailbox.empty();
        m_mailbox.push_back(std::move(message));
    }
    if (wasEmpty)
        event_active(m_wakeup, EV_READ, 0);
}

void event_loop::drainMailbox()
{
    std::deque<std::function<void()>> messages;
    {
        const std::lock_guard guard(m_mailboxLock);
        messages.swap(m_mailbox);
    }
    for (const auto &message : messages)
        message();
}

void event_loop::after(std::chrono::microseconds delay, std::function<void()> callback)
{
    const auto time = toTimeval(delay);
    auto owned = std::make_unique<one_shot>(one_shot{std::move(callback)});
    event_base_once(m_base, -1, EV_TIMEOUT, runOneShot, owned.release(), &time);
}

void event_loop::onSignal(int signal, std::function<void()> callback)
{
    auto handler = std::make_unique<signal_handler>();
    handler->callback = std::move(callback);
    const auto run = [](evutil_socket_t, short, void *argument) {
        static_cast<signal_handler *>(argument)->callback();
    };
    handler->registration = evsignal_new(m_base, signal, run, handler.get());
    event_add(handler->registration, nullptr);
    m_signals.push_back(std::move(handler));
}

instant event_loop::now()
{
    return std::chrono::duration_cast<instant>(std::chrono::steady_clock::now().time_since_epoch());
}

loop_timer::loop_timer(event_loop &loop, std::function<void()> callback)
    : m_callback(std::move(callback))
{
    const auto run = [](evutil_socket_t, short, void *self) {
        static_cast<loop_timer *>(self)->m_callback();
    };
    m_event = evtimer_new(loop.base(), run, this);
}

loop_timer::~loop_timer()
{
    event_free(m_event);
}

void loop_timer::start(std::chrono::microseconds delay)
{
    const auto time = toTimeval(delay);
    evtimer_add(m_event, &time);
}

void loop_timer::stop()
{
    evtimer_del(m_event);
}

} // namespace foxtaildyke
