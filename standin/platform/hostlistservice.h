#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace standin {

/// A HostListService provides the platform's list of live and leaving hosts in the format of
/// Prometheus HTTP service discovery. Changes appear in the list after a fixed lag. Thread-safe.
class HostListService
{
public:
    explicit HostListService(std::chrono::milliseconds lag)
        : m_lag(lag)
    {}

    /// Sets a host's state: "live", "leaving", or "gone", which removes it from the list.
    void set(const std::string &host, const std::string &state);
    /// Returns the list with all changes that are at least as old as the lag.
    web::json::value list();

private:
    struct PendingChange
    {
        std::chrono::steady_clock::time_point at;
        std::string host;
        std::string state;
    };

    std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::vector<PendingChange> m_pending;
    std::map<std::string, std::string> m_listed;
};

} // namespace standin
