#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace oleanderhall::test {

/// An upstream on a loopback port of its own. Serves one connection at a time: reads a request up
/// to the end of its header, calls the script and reads the next one if the script returns true.
/// Otherwise it closes the connection.
class FakeUpstream
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Answers one request. Receives the socket, the request's text and its number, counted from 1
    /// over all connections. Returns whether the connection stays open.
    using Script = std::function<bool(Socket &, const std::string &, int)>;

    explicit FakeUpstream(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { run(); })
    {}
    ~FakeUpstream()
    {
        m_isStopping = true;
        boost::system::error_code ignored;
        {
            const std::lock_guard lock(m_mutex);
            if (m_currentSocket)
                m_currentSocket->shutdown(Socket::shutdown_both, ignored);
        }
        Socket wake(m_io);
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int requestCount() const { return m_requestCount; }
    int connectionCount() const { return m_connectionCount; }

    static void send(Socket &socket, const std::string &text)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(text), ignored);
    }
    /// Returns a response with status 200.
    static std::string okResponse(const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

private:
    void run()
    {
        while (!m_isStopping) {
            Socket socket(m_io);
            boost::system::error_code failed;
            m_acceptor.accept(socket, failed);
            if (failed || m_isStopping)
                return;
            ++m_connectionCount;
            setCurrentSocket(&socket);
            bool staysOpen = true;
            while (staysOpen) {
                std::string text;
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n",
                                        failed);
                if (failed)
                    break;
                staysOpen = m_script(socket, text, ++m_requestCount);
            }
            setCurrentSocket(nullptr);
        }
    }

    void setCurrentSocket(Socket *socket)
    {
        const std::lock_guard lock(m_mutex);
        m_currentSocket = socket;
    }

    Script m_script;
    std::mutex m_mutex;
    Socket *m_currentSocket = nullptr;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_requestCount{0};
    std::atomic<int> m_connectionCount{0};
    std::thread m_thread;
};

} // namespace oleanderhall::test
