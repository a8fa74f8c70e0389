#pragma once

#include "attempt.h"

#include "oleanderhall/fleet/logentry.h"

#include <map>
#include <string>
#include <vector>

namespace load {

/// One execution of a request as recorded by an upstream. Times are microseconds of the monotonic
/// clock.
struct Execution
{
    std::string requestId;
    std::string host;
    std::string service;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0; ///< Zero while the request runs, or when it was cut off.
};

/// The records of one experiment from the callers, the upstreams and the platform.
struct Records
{
    std::vector<Attempt> attempts;
    std::vector<Execution> executions;
    std::vector<oleanderhall::LogEntry> log;
    std::map<std::string, std::int64_t> commitTimesUs; ///< Keyed by the log entry's operation.
};

/// The result of a check: violations as text, their counts, and measurements.
struct CheckReport
{
    std::vector<std::string> violations;
    int doubleExecutions = 0;
    int falseNotExecuted = 0;
    int wrongResponses = 0;
    int responsesWithoutExecution = 0; ///< Responses whose operation no upstream recorded.
    int budgetViolations = 0;
    int poolViolations = 0; ///< Hosts that changed their pool without being stopped.
    int lateStarts = 0; ///< Executions started on a draining host more than 3 s after the drain.
    int cutOff = 0; ///< Attempts without a complete response at a host that was stopped by plan.
    /// Longest time from a drain's commit to the start of an execution.
    std::int64_t maxStartDelayUs = 0;
    int moves = 0;
    double rollOutSeconds = 0; ///< Duration of the longest completed wave.
    /// Mean number of serving hosts without an instance since the first wave.
    double meanBufferHosts = 0;
};

/// Checks the records against the guarantees of the fleet. When `isTimed` is false, late starts are
/// counted but are no violations.
CheckReport checkHistory(const Records &records, bool isTimed = true);

/// Prints the report with the first ten violations. Returns whether there were none.
bool printReport(const CheckReport &report);

} // namespace load
