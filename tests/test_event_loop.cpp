// Event loop: messages of one sender must run in order, and no message may be lost between threads.
#include "event_loop_p.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtaildyke;

TEST_CASE("messages of each sender run in the order in which they were posted")
{
    constexpr int kSenders = 4;
    constexpr int kMessages = 2000;
    event_loop loop;
    std::vector<std::vector<int>> received(kSenders);
    int total = 0;
    std::vector<std::thread> senders;
    senders.reserve(kSenders);
    for (int sender = 0; sender < kSenders; ++sender)
        senders.emplace_back([&, sender] {
            for (int number = 0; number < kMessages; ++number)
                loop.post([&, sender, number] {
                    received[static_cast<std::size_t>(sender)].push_back(number);
                    if (++total == kSenders * kMessages)
                        loop.stop();
                });
        });
    loop.run();
    std::ranges::for_each(senders, &std::thread::join);
    for (const auto &numbers : received) {
        CHECK(numbers.size() == kMessages);
        CHECK(std::ranges::is_sorted(numbers));
    }
}

TEST_CASE("a message posted from a message runs after those already queued")
{
    event_loop loop;
    std::string order;
    loop.post([&] {
        order += 'a';
        loop.post([&] {
            order += 'c';
            loop.stop();
        });
    });
    loop.post([&] { order += 'b'; });
    loop.run();
    CHECK(order == "abc");
}

TEST_CASE("a stopped timer does not run and a restarted one runs once")
{
    event_loop loop;
    int stopped = 0;
    int restarted = 0;
    loop_timer never(loop, [&] { ++stopped; });
    loop_timer once(loop, [&] { ++restarted; });
    never.start(std::chrono::milliseconds(1));
    once.start(std::chrono::milliseconds(1));
    once.start(std::chrono::milliseconds(5));
    never.stop();
    loop.after(std::chrono::milliseconds(40), [&] { loop.stop(); });
    loop.run();
    CHECK(stopped == 0);
    CHECK(restarted == 1);
}
