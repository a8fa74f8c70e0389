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
    const auto until = std::chrono::steady_clock::now() - m_lag;
    auto edit = m_pending.begin();
    for (; edit != m_pending.end() && edit->at <= until; ++edit)
        m_listed[edit->host] = edit->state;
    m_pending.erase(m_pending.begin(), edit);
    value result = value::array();
    std::size_t groups = 0;
    for (const std::string state : {"live", "leaving"}) {
        value targets = value::array();
        std::size_t count = 0;
        for (const auto &[host, hostState] : m_listed) {
            if (hostState == state)
                targets[count++] = value::string(host);
        }
        result[groups]["targets"] = targets;
        result[groups++]["labels"]["state"] = value::string(state);
    }
    return result;
}

} // namespace standin
