#pragma once

#include <utility>

#include "oleanderhall/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <mutex>
#include <optional>

namespace oleanderhall {

/// Internal: passes one value from any thread to one coroutine that waits for it with a deadline.
template <typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    explicit OneShot(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {}

    /// Delivers the value. Returns false if the waiter has timed out; the value is then discarded.
    bool set(T value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return false;
        m_value.emplace(std::move(value));
        // Posted to the waiter's strand, so that it runs after the waiter has started to wait.
        boost::asio::post(m_timer.get_executor(),
                          [self = this->shared_from_this()] { self->m_timer.cancel(); });
        return true;
    }

    /// Completes with the value, or with nothing if it isn't set by `deadline`; set() fails from
    /// then on.
    boost::asio::awaitable<std::optional<T>> wait(Instant deadline)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_value)
                co_return std::move(m_value);
        }
        m_timer.expires_at(deadline);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        co_return std::move(m_value);
    }

private:
    std::mutex m_mutex;
    bool m_isClosed = false;
    std::optional<T> m_value;
    boost::asio::steady_timer m_timer;
};

} // namespace oleanderhall
