#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: what was decided for one request, in words.
struct RequestTrace
{
    std::string requestId;
    std::string service;
    std::vector<std::string> steps; ///< Each upstream tried and what came of it, then the end.
};

/// Internal: the decisions on the most recent requests that carried an X-Request-Id.
class RequestTraces
{
public:
    void add(RequestTrace trace);
    std::optional<RequestTrace> find(const std::string &requestId) const;

private:
    mutable std::mutex m_mutex;
    std::deque<RequestTrace> m_traces;
};

} // namespace oleanderhall
