#include "executionlog.h"

#include <chrono>

namespace standin {

std::int64_t monotonicUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::size_t ExecutionLog::start(Execution execution)
{
    const std::lock_guard lock(m_mutex);
    execution.startUs = monotonicUs();
    m_executions.push_back(std::move(execution));
    return m_executions.size() - 1;
}

void ExecutionLog::end(std::size_t number)
{
    const std::lock_guard lock(m_mutex);
    m_executions[number].endUs = monotonicUs();
}

std::string ExecutionLog::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string result;
    for (const Execution &entry : m_executions) {
        result += entry.requestId + " " + entry.host + " " + entry.service + " "
            + std::to_string(entry.startUs) + " " + std::to_string(entry.endUs) + "\n";
    }
    return result;
}

} // namespace standin
