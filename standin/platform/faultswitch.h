#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <mutex>
#include <string>

namespace standin {

/// A fault that a FaultSwitch injects into the calls of a service.
enum class Fault {
    None,
    Down, ///< Responds with 503 without executing the call.
    Silent, ///< Doesn't execute the call and sends no response for 30 s.
    Slow, ///< Executes the call after a delay, then responds.
    LostResponse, ///< Executes the call, then responds with 500.
    DelayedEffect, ///< Responds with 500 at once and executes the call after a delay.
};

/// A FaultSwitch holds the fault that a test has set for one service of the stand-in. The fault can
/// be limited to every n-th call. Thread-safe.
class FaultSwitch
{
public:
    /// Sets the fault from {"mode": ..., "delayMs": ..., "every": ...}. "delayMs" defaults to 500,
    /// "every" to 1. Throws on an unknown mode.
    void set(const web::json::value &json);
    /// Counts a call and returns the fault to inject into it.
    Fault next();
    /// Returns the delay of Fault::Slow and Fault::DelayedEffect.
    std::chrono::milliseconds delay() const;

private:
    mutable std::mutex m_mutex;
    Fault m_fault = Fault::None;
    std::chrono::milliseconds m_delay{0};
    int m_every = 1;
    int m_calls = 0;
};

} // namespace standin
