#pragma once

#include "oleanderhall/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace oleanderhall {

/// Internal: the deadlines of all HttpClients of one io_context, which share one timer. Almost no
/// call reaches its deadline, so setting and removing one must cost little. Not thread-safe: use it
/// on the thread that runs its io_context.
class CallDeadlines : public boost::asio::execution_context::service
{
public:
    using Entries = std::multimap<Instant, std::function<void()>>;
    /// Refers to a deadline until it has passed or has been removed.
    using Handle = Entries::iterator;

    static inline boost::asio::execution_context::id id;

    explicit CallDeadlines(boost::asio::execution_context &context);

    /// Calls `onPassed` once `deadline` has passed, unless the deadline is removed before.
    Handle add(Instant deadline, std::function<void()> onPassed);
    void remove(Handle handle);

private:
    void shutdown() override;
    void arm(Instant expiry);
    void onTimer();

    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>,
                                      boost::asio::io_context::executor_type>
        m_timer;
    Entries m_entries;
    Instant m_expiry{}; ///< Of the timer, while `m_isArmed`.
    bool m_isArmed = false;
};

} // namespace oleanderhall
