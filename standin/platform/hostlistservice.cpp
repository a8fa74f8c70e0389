#include "hostlistservice.h"

namespace standin {

using web::json::value;

void HostListService::set(const std::string &host, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_pending.push_back({std::chrono::steady_clock::now(), host, state});
}

value HostListService::list()
{
    const std::lock_guard lock(m_mutex);
    const auto visibleUntil = std::chrono::steady_clock::now() - m_lag;
    auto change = m_pending.begin();
    for (; change != m_pending.end() && change->at <= visibleUntil; ++change)
        m_listed[change->host] = change->state;
    m_pending.erase(m_pending.begin(), change);
    value result = value::array();
    std::size_t groupCount = 0;
    for (const std::string state : {"live", "leaving"}) {
        value targets = value::array();
        std::size_t count = 0;
        for (const auto &[host, hostState] : m_listed) {
            if (hostState == state)
                targets[count++] = value::string(host);
        }
        result[groupCount]["targets"] = targets;
        result[groupCount++]["labels"]["state"] = value::string(state);
    }
    return result;
}

} // namespace standin
