#pragma once

namespace oleanderhall {

/// What is known after an order was sent to a worker.
enum class CallResult {
    Ok,
    NotSent, ///< No connection; the order had no effect.
    Unknown, ///< No answer; the order may have been carried out, or may be later.
    OtherIncarnation, ///< Another life of the worker answered; the intended one is over.
    Fenced, ///< The worker has seen a higher fencing token.
    RunTooOld, ///< The run's number is not higher than one that was stopped or has ended.
    TooLate, ///< The lease that the order carried had passed.
    NoCapacity,
    TicketRejected, ///< The queue's policy does not allow this worker, or the ticket expired.
    Unhealthy, ///< The worker turned the order away; it had no effect.
    Invalid,
};

const char *nameOf(CallResult result);

} // namespace oleanderhall
