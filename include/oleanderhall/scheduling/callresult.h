#pragma once

namespace oleanderhall {

/// The result of a command or poll that was sent to a worker.
enum class CallResult {
    Ok,
    NotSent, ///< No connection; the command had no effect.
    Withheld, ///< Not sent, as it was no longer permitted by then; it had no effect.
    Unknown, ///< No answer; the command may have been executed, or may be executed later.
    OtherIncarnation, ///< A later incarnation answered; the intended one has terminated.
    Fenced, ///< The worker has accepted a higher fencing token.
    RunTooOld, ///< A run of the task with this or a higher number was stopped or has ended.
    TooLate, ///< The command's lease had expired when it arrived.
    NoCapacity,
    TicketRejected, ///< The queue's policy does not allow this worker, or the ticket expired.
    Unhealthy, ///< The worker is overloaded or unavailable; the command had no effect.
    Invalid, ///< Any other refusal, or an answer that can't be decoded.
};

/// Returns the name that stands for `result` in logs.
const char *nameOf(CallResult result);

} // namespace oleanderhall
