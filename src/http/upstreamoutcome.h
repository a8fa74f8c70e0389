#pragma once

#include "call.h"

namespace oleanderhall {

/// Internal: how one attempt at an upstream ended.
struct UpstreamOutcome
{
    enum class Kind {
        Responded, ///< A whole answer came.
        NotSent, ///< Not one byte of the request was handed to a connection.
        Stale, ///< A reused connection was closed before any byte of an answer.
        TimedOut, ///< No whole answer in time.
        InvalidResponse, ///< The connection ended, or the answer was malformed or too large.
    };

    Kind kind = Kind::NotSent;
    Reply reply;
};

} // namespace oleanderhall
