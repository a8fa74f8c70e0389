#pragma once

#include "oleanderhall/jobs/jobspec.h"

#include <optional>
#include <string>

namespace oleanderhall {

/// Returns `job` encoded as JSON for storage. The text does not contain the job's id.
std::string encodeJob(const JobSpec &job);
/// Decodes what encodeJob() returned for the job `id`. Returns nothing if `text` is invalid.
std::optional<JobSpec> decodeJob(JobId id, const std::string &text);

} // namespace oleanderhall
