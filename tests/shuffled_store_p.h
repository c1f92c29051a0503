// Fake object store that applies calls and delivers their responses in random order, and loses responses before or
// after the call is applied.
#pragma once

#include "object_store_p.h"

#include <map>
#include <memory>
#include <random>

namespace foxtaildyke
{

class shuffled_store : public object_store
{
public:
    bool outage = false; ///< calls applied now are refused
    unsigned lossPercent = 0; ///< share of responses that are lost

    explicit shuffled_store(std::uint32_t seed)
        : m_random(seed)
    {
    }

    void read(const std::string &key, read_done done) override
    {
        auto open = std::make_shared<call>();
        open->apply = [this, open = open.get(), key] {
            open->refused = outage;
            open->object = find(key);
        };
        open->respond = [open = open.get(), key, done = std::move(done)](bool isLost) {
            if (isLost || open->refused)
                return done(error{isLost ? error_code::timed_out : error_code::unavailable, key});
            if (open->object.version == 0)
                return done(error{error_code::not_found, key});
            done(open->object);
        };
        m_open.push_back(std::move(open));
    }

    void write(const std::string &key, std::string body, object_version expected, write_done done) override
    {
        auto open = std::make_shared<call>();
        open->apply = [this, open = open.get(), key, body = std::move(body), expected] {
            open->refused = outage;
            open->conflict = !outage && find(key).version != expected;
            if (!open->refused && !open->conflict)
                m_objects[key] = open->object = {body, ++m_lastVersion};
        };
        open->respond = [open = open.get(), key, done = std::move(done)](bool isLost) {
            if (isLost)
                return done(error{error_code::timed_out, key});
            if (open->refused || open->conflict)
                return done(error{open->conflict ? error_code::conflict : error_code::unavailable, key});
            done(open->object.version);
        };
        m_open.push_back(std::move(open));
    }

    void remove(const std::string &key, object_version, remove_done done) override
    {
        done(error{error_code::unavailable, key});
    }

    void list(const std::string &prefix, const std::string &, std::size_t, list_done done) override
    {
        done(error{error_code::unavailable, prefix});
    }

    /// Advances one random open call: applies it, delivers its response or loses the response. A call whose response
    /// was lost may still be applied later.
    void step()
    {
        if (m_open.empty())
            return;
        const auto index = m_random() % m_open.size();
        const auto open = m_open[index];
        const bool isLost = m_random() % 100 < lossPercent;
        if (!open->applied && !isLost) {
            open->applied = true;
            open->apply();
        } else if (!open->responded) {
            open->responded = true;
            open->respond(isLost);
        } else {
            open->applied = true; // The request was lost: it is never applied.
        }
        if (open->applied && open->responded)
            std::erase(m_open, open);
    }

    [[nodiscard]] bool isIdle() const { return m_open.empty(); }

    [[nodiscard]] stored_object find(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? stored_object{} : found->second;
    }

private:
    struct call {
        std::function<void()> apply;
        std::function<void(bool isLost)> respond;
        bool applied = false;
        bool responded = false;
        bool refused = false;
        bool conflict = false;
        stored_object object;
    };

    std::mt19937 m_random;
    std::vector<std::shared_ptr<call>> m_open;
    std::map<std::string, stored_object> m_objects;
    object_version m_lastVersion = 0;
};

} // namespace foxtaildyke
