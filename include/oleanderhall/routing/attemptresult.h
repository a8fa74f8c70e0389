#pragma once

namespace oleanderhall {

/// The outcome of one attempt at an upstream, as ServiceRouter accounts for it when it chooses
/// upstreams for later requests.
enum class AttemptResult {
    Responded, ///< A complete response was received.
    Refused, ///< The upstream rejected the request before executing it
             ///< (ServiceRule::notExecutedStatuses).
    Unreachable, ///< No connection could be opened; nothing was sent.
    IncompleteResponse, ///< Sent, but no complete response was received.
    NotAttempted, ///< The slot is released without a result that counts for or against the
                  ///< upstream.
};

} // namespace oleanderhall
