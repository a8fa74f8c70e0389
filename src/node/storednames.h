#pragma once

#include "oleanderhall/jobs/taskid.h"

#include <xxhash.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleanderhall {

// Internal: where the project's own rows lie in the table service.

/// Internal: the part of the rows about ownership and hosts.
inline constexpr const char *kControlPartition = "fleet";
/// Internal: a part takes a few hundred transactions a second, and a slow one only a few. Jobs are
/// spread over this many parts by their id; each holds a row with the owner's token, so that every
/// record of progress is one transaction that also checks ownership.
inline constexpr int kJobPartitions = 4;
inline constexpr const char *kFencingTokenTable = "fences";
inline constexpr const char *kFencingTokenKey = "owner";
inline constexpr const char *kJobTable = "jobs"; ///< What callers asked for.
/// How far jobs are, and the cancellations once more, so that one read tells a job's state. The
/// owner follows the other table only and is not woken by its own records.
inline constexpr const char *kProgressTable = "progress";
inline constexpr const char *kControlTable = "control";
inline constexpr const char *kTermKey = "term";
inline constexpr const char *kHeartbeatKey = "beat";

/// Internal: rows of the control table that list the hosts a wave has maintained.
inline constexpr std::string_view kMaintainedHostsPrefix = "wave/";

/// Internal: the rows of one job, in the order of their keys.
enum class JobRow : char {
    Spec = 'j', ///< What the caller submitted; dropped when the job has ended.
    Progress = 'p', ///< Written with the spec; from then on by the owner alone.
    Cancel = 'x', ///< Present once a caller has cancelled the job.
};

/// Internal: returns the number of the part, from 0, in which the rows of job `id` lie.
inline int jobPartition(JobId id)
{
    return static_cast<int>(XXH64(&id.value, sizeof id.value, 0) % kJobPartitions);
}
inline std::string jobPartitionName(int number)
{
    return "jobs-" + std::to_string(number);
}

inline std::string jobKey(JobId id, JobRow row)
{
    return textOf(id) + "/" + static_cast<char>(row);
}

struct JobKey
{
    JobId id;
    JobRow row = JobRow::Spec;
};

inline std::optional<JobKey> parseJobKey(std::string_view key)
{
    constexpr std::size_t kKeyLength = 18;
    if (key.size() != kKeyLength || key[kKeyLength - 2] != '/')
        return std::nullopt;
    const auto id = parseJobId(key.substr(0, kKeyLength - 2));
    const char row = key.back();
    if (!id || (row != 'j' && row != 'p' && row != 'x'))
        return std::nullopt;
    return JobKey{*id, static_cast<JobRow>(row)};
}

} // namespace oleanderhall
