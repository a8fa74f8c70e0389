#include "requesttraces.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr std::size_t kMaxTraces = 1000;
constexpr std::size_t kMaxIdLength = 128; // bytes

} // namespace

void RequestTraces::add(RequestTrace trace)
{
    if (trace.requestId.empty() || trace.requestId.size() > kMaxIdLength)
        return;
    const std::lock_guard lock(m_mutex);
    m_traces.push_back(std::move(trace));
    if (m_traces.size() > kMaxTraces)
        m_traces.pop_front();
}

std::optional<RequestTrace> RequestTraces::find(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(
        m_traces.rbegin(), m_traces.rend(),
        [&](const RequestTrace &trace) { return trace.requestId == requestId; });
    if (found == m_traces.rend())
        return std::nullopt;
    return *found;
}

} // namespace oleanderhall
