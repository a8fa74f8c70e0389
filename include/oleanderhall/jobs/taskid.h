#pragma once

#include "oleanderhall/core/strongnumber.h"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderhall {

/// Identifies a job. Callers choose it; it is written as 16 hexadecimal digits.
using JobId = StrongNumber<struct JobTag>;

/// Returns `id` as 16 lower-case hexadecimal digits.
std::string textOf(JobId id);
/// Parses a job's id. Returns nothing if `text` is not exactly 16 hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view text);

/// Identifies one task by its job, occurrence (0 unless the job repeats), step and index.
struct TaskId
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/// Returns `id` as its four parts joined by dots.
std::string textOf(const TaskId &id);
/// Parses what textOf() returned. Returns nothing if a part is missing, negative or not a number.
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace oleanderhall
