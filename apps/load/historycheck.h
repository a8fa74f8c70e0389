#pragma once

#include "attempt.h"

#include "oleanderhall/fleet/logentry.h"

#include <map>
#include <string>
#include <vector>

namespace load {

/// One run of a request as an upstream recorded it.
struct Execution
{
    std::string requestId;
    std::string host;
    std::string service;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

/// Everything that was recorded of one experiment.
struct Records
{
    std::vector<Attempt> attempts;
    std::vector<Execution> executions;
    std::vector<oleanderhall::LogEntry> log;
    std::map<std::string, std::int64_t> commitTimesUs; ///< By the entry's operation.
};

/// What a check found: violations with their trace, and the measures.
struct CheckReport
{
    std::vector<std::string> violations;
    int doubleExecutions = 0;
    int falseNotExecuted = 0;
    int wrongResponses = 0;
    int responsesWithoutExecution = 0; ///< Answered, but no upstream recorded a run.
    int budgetViolations = 0;
    int poolViolations = 0;
    int lateStarts = 0; ///< Runs started at a leaving upstream after the bound.
    int cutOff = 0; ///< Attempts without a whole answer at a host that stopped by plan.
    std::int64_t maxStartDelayUs = 0; ///< The latest start after a drain was committed.
    int moves = 0;
    double rollOutSeconds = 0;
    double meanBufferHosts = 0; ///< Mean serving hosts without an instance, from the first wave on.
};

/// Checks every promise that the records can show to be broken.
/// With `isTimed` off, lateness is reported and no violation.
CheckReport checkHistory(const Records &records, bool isTimed = true);

/// Prints the report; returns whether no promise was broken.
bool printReport(const CheckReport &report);

} // namespace load
