#pragma once

namespace oleanderhall {

/// The result of storing a job.
enum class StoreOutcome {
    Stored,
    AlreadyStored, ///< A job with this id is stored; it is taken for the same job.
    Withdrawn, ///< Never stored: a caller cancelled the job before a write of it was performed.
    Refused, ///< Certainly not stored, and never will be by this call.
    Unknown, ///< It may have been stored, or may be stored later.
};

} // namespace oleanderhall
