#pragma once

namespace oleanderhall {

/// How one attempt at an upstream ended, as far as the choice of the next one goes.
enum class AttemptResult {
    Answered, ///< A whole answer came.
    Refused, ///< The upstream refused before work, by a status that its rule names.
    Unreachable, ///< No connection; nothing was sent.
    Broken, ///< Sent, but no whole answer came.
    NotTried, ///< The slot was given back unused.
};

} // namespace oleanderhall
