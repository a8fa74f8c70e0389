#pragma once

#include "call.h"

namespace oleanderhall {

/// Internal: the outcome of one attempt to send a request to an upstream.
struct UpstreamOutcome
{
    enum class Kind {
        Responded, ///< A complete response was received.
        NotSent, ///< No byte of the request was written to a connection.
        Stale, ///< A reused connection failed before the first byte of a response.
        TimedOut, ///< No complete response by the deadline.
        InvalidResponse, ///< The connection was closed, or the response was malformed or too large.
    };

    Kind kind = Kind::NotSent;
    Reply reply;
};

} // namespace oleanderhall
