#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace load {

/// One attempt of a caller's operation at an entry host, as stored in a history file. Times are
/// microseconds of the monotonic clock, which all processes of one machine share.
struct Attempt
{
    std::string operation;
    int number = 0; ///< Distinguishes the attempts of one operation.
    std::string entry;
    std::string service;
    bool isUnrepeatable = false;
    std::int64_t sentUs = 0;
    std::int64_t doneUs = 0;
    int status = 0; ///< HTTP status; zero without a complete response.
    std::string executionStatus = "-"; ///< "no", "yes" or "unknown" for a refusal, else "-".
    std::string reason = "-"; ///< Of a refusal; "no_answer" without a complete response.
    std::string respondedRequestId = "-"; ///< Request id in the response's body.

    /// Returns the id under which upstreams record the execution of this attempt.
    std::string requestId() const { return operation + "." + std::to_string(number); }
    /// Returns whether the response is that of an upstream, with any status, and not a refusal.
    bool hasUpstreamResponse() const { return status >= 200 && executionStatus == "-"; }
};

/// Writes attempts as text, one per line. Throws std::runtime_error when the file can't be written.
void writeHistory(const std::string &path, const std::vector<Attempt> &attempts);
/// Reads a file from writeHistory(). Throws std::runtime_error when the file can't be read or has a
/// malformed line.
std::vector<Attempt> readHistory(const std::string &path);

} // namespace load
