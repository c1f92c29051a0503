// A task: a libevent base that runs on a thread of its own, a mailbox for messages from other tasks, and timers. All
// state that a task owns is accessed on its thread only.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace foxtaildyke
{

class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Runs the loop on the calling thread until stop().
    void run();

    /// Ends run(). Safe from any thread.
    void stop();

    /// Runs a message on the task's thread. Safe from any thread.
    void post(std::function<void()> message);

    /// Runs a callback once after a delay. To be called on the task's thread only.
    void after(std::chrono::microseconds delay, std::function<void()> callback);

    /// Runs a callback whenever the process receives a signal. To be called before run() only.
    void onSignal(int signal, std::function<void()> callback);

    /// @returns monotonic time of this host.
    [[nodiscard]] static instant now();

    [[nodiscard]] event_base *base() const { return m_base; }

private:
    struct signal_handler;
    void drainMailbox();

    event_base *m_base = nullptr;
    event *m_wakeup = nullptr;
    std::mutex m_mailboxLock; ///< guards m_mailbox only
    std::deque<std::function<void()>> m_mailbox;
    std::vector<std::unique_ptr<signal_handler>> m_signals;
};

/// Restartable one-shot timer of a task. Destroying it stops it.
class loop_timer
{
public:
    loop_timer(event_loop &loop, std::function<void()> callback);
    ~loop_timer();
    loop_timer(const loop_timer &) = delete;
    loop_timer &operator=(const loop_timer &) = delete;

    /// Runs the callback once after a delay; replaces a delay set earlier.
    void start(std::chrono::microseconds delay);
    void stop();

private:
    std::function<void()> m_callback;
    event *m_event = nullptr;
};

} // namespace foxtaildyke
