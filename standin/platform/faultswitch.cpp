#include "faultswitch.h"

#include <map>

namespace standin {

namespace {

constexpr int kDefaultDelayMs = 500;

Fault faultNamed(const std::string &name)
{
    static const std::map<std::string, Fault> names{
        {"none", Fault::None}, {"down", Fault::Down},         {"silent", Fault::Silent},
        {"slow", Fault::Slow}, {"lost", Fault::LostResponse}, {"late", Fault::DelayedEffect}};
    return names.at(name);
}

} // namespace

void FaultSwitch::set(const web::json::value &json)
{
    const std::lock_guard lock(m_mutex);
    m_fault = faultNamed(json.at("mode").as_string());
    m_delay = std::chrono::milliseconds(json.has_field("delayMs") ? json.at("delayMs").as_integer()
                                                                  : kDefaultDelayMs);
    m_every = json.has_field("every") ? std::max(json.at("every").as_integer(), 1) : 1;
    m_calls = 0;
}

Fault FaultSwitch::next()
{
    const std::lock_guard lock(m_mutex);
    if (++m_calls % m_every != 0)
        return Fault::None;
    return m_fault;
}

std::chrono::milliseconds FaultSwitch::delay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delay;
}

} // namespace standin
