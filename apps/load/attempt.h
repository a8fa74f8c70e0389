#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace load {

/// One try of a caller's operation at an entry host, as it stands in a history file. Times are
/// microseconds of the monotonic clock, which all processes of one machine share.
struct Attempt
{
    std::string operation;
    int number = 0;
    std::string entry;
    std::string service;
    bool isUnrepeatable = false;
    std::int64_t sentUs = 0;
    std::int64_t doneUs = 0;
    int status = 0; ///< Zero when no whole answer came.
    std::string executionStatus = "-"; ///< "no", "yes" or "unknown" of a refusal.
    std::string reason = "-";
    std::string respondedRequestId = "-"; ///< The request that the answer says it is for.

    /// The id under which upstreams record the run of this try.
    std::string requestId() const { return operation + "." + std::to_string(number); }
    bool isSuccess() const { return status >= 200 && executionStatus == "-"; }
};

/// Writes attempts as text, one a line.
void writeHistory(const std::string &path, const std::vector<Attempt> &attempts);
/// Reads what writeHistory() wrote. Throws std::runtime_error on a malformed line.
std::vector<Attempt> readHistory(const std::string &path);

} // namespace load
