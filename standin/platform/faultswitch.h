#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <mutex>
#include <string>

namespace standin {

/// What a FaultSwitch makes a service do.
enum class Fault {
    None,
    Down, ///< Answers 503 and does nothing.
    Silent, ///< Does nothing and answers only after a long time.
    Slow, ///< Works after a delay.
    LostResponse, ///< Works, then answers 500.
    DelayedEffect, ///< Answers 500 at once and works after a delay.
};

/// A FaultSwitch holds the fault that a test has set for one service of the stand-in. A fault may
/// hit only every n-th call.
class FaultSwitch
{
public:
    /// Sets the fault from {"mode": ..., "delayMs": ..., "every": ...}.
    void set(const web::json::value &json);
    /// Returns the fault for the next call.
    Fault next();
    std::chrono::milliseconds delay() const;

private:
    mutable std::mutex m_mutex;
    Fault m_fault = Fault::None;
    std::chrono::milliseconds m_delay{0};
    int m_every = 1;
    int m_calls = 0;
};

} // namespace standin
