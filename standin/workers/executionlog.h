#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace standin {

/// One run of a request at an instance, with times in microseconds of the monotonic clock.
struct Execution
{
    std::string requestId;
    std::string host;
    std::string service;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0; ///< Zero while the request runs, or when it was cut off.
};

/// An ExecutionLog records every request that any instance has run, for history checks.
class ExecutionLog
{
public:
    /// Records the start of a run and returns its number.
    std::size_t start(Execution execution);
    void end(std::size_t number);
    /// Returns all runs as lines: request id, host, service, start, end.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Execution> m_executions;
};

/// Returns the monotonic time in microseconds.
std::int64_t monotonicUs();

} // namespace standin
