#pragma once

namespace oleanderhall {

/// How one attempt at an upstream ended, as far as the choice of the next one goes.
enum class AttemptResult {
    Responded, ///< A whole answer came.
    Refused, ///< The upstream refused before work, by a status that its rule names.
    Unreachable, ///< No connection; nothing was sent.
    IncompleteResponse, ///< Sent, but no whole answer came.
    NotAttempted, ///< The slot was given back unused.
};

} // namespace oleanderhall
