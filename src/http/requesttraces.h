#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: the routing decisions on one request, as text.
struct RequestTrace
{
    std::string requestId;
    std::string service;
    std::vector<std::string> steps; ///< Each attempt's upstream and outcome, then the final status.
};

/// Internal: traces of the most recent requests with an X-Request-Id. Thread-safe.
class RequestTraces
{
public:
    /// Ignores a trace whose request ID is empty or too long. Otherwise adds it and discards the
    /// oldest trace if the maximum number is exceeded.
    void add(RequestTrace trace);
    /// Returns the latest trace with this ID.
    std::optional<RequestTrace> find(const std::string &requestId) const;

private:
    mutable std::mutex m_mutex;
    std::deque<RequestTrace> m_traces;
};

} // namespace oleanderhall
