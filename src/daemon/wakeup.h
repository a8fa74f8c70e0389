#pragma once

#include "oleanderhall/core/time.h"

#include <condition_variable>
#include <mutex>

namespace oleanderhall {

/// Internal: lets one thread sleep until a deadline or until another thread wakes it. A call of
/// wake() while no thread sleeps ends the next sleep at once.
class Wakeup
{
public:
    void sleepUntil(Instant deadline)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, deadline, [this] { return m_isSignaled; });
        m_isSignaled = false;
    }
    void wake()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isSignaled = true;
        }
        m_changed.notify_one();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isSignaled = false;
};

} // namespace oleanderhall
