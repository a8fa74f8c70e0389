#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/ownership/candidate.h"

#include <optional>
#include <string>

namespace oleanderhall {

// Internal: the control table's rows in which processes announce themselves as candidates for
// ownership, one row a process.

/// The row's key: the prefix and the name of the process.
inline constexpr std::string_view kCandidatePrefix = "candidate/";

platform::TableRow encodeCandidate(const std::string &name, const Candidate &candidate);
/// Returns nothing for a row that can't be decoded, and logs a warning.
std::optional<Candidate> decodeCandidate(const platform::TableRow &row);

} // namespace oleanderhall
