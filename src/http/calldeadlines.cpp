#include "calldeadlines.h"

#include "oleanderhall/core/clock.h"

namespace oleanderhall {

namespace asio = boost::asio;

CallDeadlines::CallDeadlines(asio::execution_context &context)
    : asio::execution_context::service(context)
    , m_timer(static_cast<asio::io_context &>(context))
{}

void CallDeadlines::shutdown()
{
    m_entries.clear();
}

CallDeadlines::Handle CallDeadlines::add(Instant deadline, std::function<void()> onPassed)
{
    const Handle handle = m_entries.emplace(deadline, std::move(onPassed));
    if (!m_isArmed || deadline < m_expiry)
        arm(deadline);
    return handle;
}

void CallDeadlines::remove(Handle handle)
{
    m_entries.erase(handle);
    // A timer that is due for no call would keep io_context::run() from returning.
    if (m_entries.empty() && m_isArmed) {
        m_isArmed = false;
        m_timer.cancel();
    }
}

void CallDeadlines::arm(Instant expiry)
{
    m_isArmed = true;
    m_expiry = expiry;
    // monotonicNow() may be ahead of the timer's clock.
    m_timer.expires_after(expiry - monotonicNow());
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            onTimer();
    });
}

void CallDeadlines::onTimer()
{
    m_isArmed = false;
    const Instant now = monotonicNow();
    while (!m_entries.empty() && m_entries.begin()->first <= now) {
        const std::function<void()> onPassed = std::move(m_entries.begin()->second);
        m_entries.erase(m_entries.begin());
        onPassed();
    }
    if (!m_entries.empty() && !m_isArmed)
        arm(m_entries.begin()->first);
}

} // namespace oleanderhall
