#pragma once

#include "oleanderhall/jobs/taskid.h"

#include <xxhash.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleanderhall {

// Internal: tables, partitions and keys of the rows that the fleet nodes store in the table
// service.

/// Internal: the partition of the control table: term, heartbeat, host commands, handled hosts.
inline constexpr const char *kControlPartition = "fleet";
/// Internal: the number of partitions over which jobs are distributed by their id. A partition
/// executes a few hundred transactions a second, a slow one only a few. Each holds a row with the
/// owner's fencing token, so that every write of progress checks ownership in one transaction.
inline constexpr int kJobPartitions = 4;
inline constexpr const char *kFencingTokenTable = "fences";
inline constexpr const char *kFencingTokenKey = "owner";
inline constexpr const char *kJobTable = "jobs"; ///< Jobs as submitted, and cancellations.
/// Progress of jobs, and the cancellations again, so that one read returns a job's state. The owner
/// watches only `kJobTable`, so its own progress writes don't wake it up.
inline constexpr const char *kProgressTable = "progress";
inline constexpr const char *kControlTable = "control";
/// Internal: the fleet nodes and their peer addresses, by node id. A partition of its own, so that
/// registrations don't delay the owner's renewals while the table is slow.
inline constexpr const char *kMemberTable = "members";
inline constexpr const char *kMemberPartition = "members";
inline constexpr const char *kTermKey = "term";
inline constexpr const char *kHeartbeatKey = "beat";

/// Internal: prefix of the control table's rows that list the handled hosts, one row a wave. A host
/// is handled when it needs no further command: its maintenance has begun or was rejected for good.
inline constexpr std::string_view kHandledHostsPrefix = "wave/";

/// Internal: the rows of one job, in the order of their keys.
enum class JobRow : char {
    Spec = 'j', ///< What the caller submitted; deleted when the job has ended.
    Progress = 'p', ///< Created with the spec, then updated only by the owner.
    Cancel = 'x', ///< Present once a caller has cancelled the job.
};

/// Internal: returns the index of the partition, from 0, that stores the rows of job `id`.
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

/// Internal: the inverse of jobKey(); returns nothing for other keys.
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
