// Fakes of the controller's ports: an object store that loses responses and has outages, and status and order ports
// whose responses the test sets.
#pragma once

#include "controller_p.h"

#include <deque>

namespace foxtaildyke
{

/// Fault injected into a write.
enum class write_fault : std::uint8_t {
    none,
    response_lost, ///< takes effect, but reports timed_out
    never_arrives, ///< reports timed_out and never takes effect
    arrives_late, ///< reports timed_out; takes effect when the test calls deliverDelayed(), if its condition holds then
};

class fake_store : public object_store
{
public:
    bool outage = false;
    std::deque<write_fault> faults; ///< for the next writes, in order
    std::size_t reads = 0;
    std::size_t writes = 0; ///< writes that took effect
    std::function<void()> beforeConfigWrite; ///< runs once, before the next write of the configuration is processed

    void read(const std::string &key, read_done done) override
    {
        ++reads;
        if (outage)
            return done(error{error_code::unavailable, key});
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            return done(error{error_code::not_found, key});
        done(found->second);
    }

    void write(const std::string &key, std::string body, object_version expected, write_done done) override
    {
        const bool isConfig = key == "config/current";
        if (const auto call = isConfig ? std::exchange(beforeConfigWrite, nullptr) : nullptr)
            call();
        if (outage)
            return done(error{error_code::unavailable, key});
        const auto fault = faults.empty() ? write_fault::none : faults.front();
        if (!faults.empty())
            faults.pop_front();
        if (fault == write_fault::arrives_late)
            m_delayedWrite = [this, key, body, expected] {
                (void)put(key, body, expected);
            };
        const bool takesEffect = fault == write_fault::none || fault == write_fault::response_lost;
        const auto written = takesEffect ? put(key, std::move(body), expected) : error{error_code::timed_out, key};
        if (fault != write_fault::none)
            return done(error{error_code::timed_out, key});
        done(written);
    }

    void remove(const std::string &key, object_version, remove_done done) override
    {
        m_objects.erase(key);
        done(BOOST_OUTCOME_V2_NAMESPACE::success());
    }

    void list(const std::string &, const std::string &, std::size_t, list_done done) override
    {
        done(std::vector<std::string>{});
    }

    void deliverDelayed()
    {
        if (const auto delayed = std::exchange(m_delayedWrite, nullptr))
            delayed();
    }

    [[nodiscard]] config_document config() const
    {
        const auto found = m_objects.find("config/current");
        return found == m_objects.end() ? config_document{} : decodeConfig(found->second.body).value();
    }

private:
    result<object_version> put(const std::string &key, std::string body, object_version expected)
    {
        const auto found = m_objects.find(key);
        if ((found == m_objects.end() ? 0 : found->second.version) != expected)
            return error{error_code::conflict, key};
        ++writes;
        m_objects[key] = {std::move(body), ++m_lastVersion};
        return m_lastVersion;
    }

    std::map<std::string, stored_object> m_objects;
    object_version m_lastVersion = 0;
    std::function<void()> m_delayedWrite;
};

class fake_status : public status_port
{
public:
    result<host_status> response = error{error_code::unavailable, "router"};
    void status(status_done done) override { done(response); }
};

class fake_orders : public order_port
{
public:
    std::vector<engine_order> sent;
    bool refusesToken = false;

    void load(const engine_order &order, load_done done) override
    {
        sent.push_back(order);
        if (refusesToken)
            return done(error{error_code::conflict, order.target.name});
        done(std::vector<std::string>{order.version});
    }
};

/// Base settings with two versions and the given number of hosts, named "h1", "h2", ...
[[nodiscard]] inline config_layers controlLayers(int hosts)
{
    std::string text = "[model m]\nservice = pool\n[version v1]\nmodel = m\n[version v2]\nmodel = m\nbaseline = v1\n"
                       "[tuning]\nsession_key = 0123456789abcdef\n[account a]\napi_key = a-key-123\n"
                       "requests_per_second = 1\n";
    config_layers layers{parseIni(text).value(), {}};
    for (int i = 1; i <= hosts; ++i)
        layers.base["host h" + std::to_string(i)] = {
            {"region", "r"}, {"failure_domain", "d"}, {"address", "127.0.0.1"}, {"peer_port", "7000"}};
    return layers;
}

[[nodiscard]] inline std::vector<std::string> hostNames(int first, int last)
{
    std::vector<std::string> names;
    for (int i = first; i <= last; ++i)
        names.push_back("h" + std::to_string(i));
    return names;
}

} // namespace foxtaildyke
