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

/// Internal: hands one value from any thread to a coroutine that waits for it up to a time.
template <typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    explicit OneShot(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {}

    /// Gives the value. Returns false when the waiter has given up; the value is then not taken.
    bool set(T value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return false;
        m_value.emplace(std::move(value));
        // Runs on the waiter's strand, thus after the waiter has begun to wait.
        boost::asio::post(m_timer.get_executor(),
                          [self = this->shared_from_this()] { self->m_timer.cancel(); });
        return true;
    }

    /// Waits until `latest`. Returns nothing when no value came; set() fails from then on.
    boost::asio::awaitable<std::optional<T>> wait(Instant latest)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_value)
                co_return std::move(m_value);
        }
        m_timer.expires_at(latest);
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
