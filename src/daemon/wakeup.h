#pragma once

#include "oleanderhall/core/time.h"

#include <condition_variable>
#include <mutex>

namespace oleanderhall {

/// Internal: lets one thread sleep until a time or until another thread wakes it.
class Wakeup
{
public:
    void sleepUntil(Instant latest)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, latest, [this] { return m_isAwake; });
        m_isAwake = false;
    }
    void wake()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isAwake = true;
        }
        m_changed.notify_one();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isAwake = false;
};

} // namespace oleanderhall
