#include "log.h"

#include "oleanderhall/core/clock.h"

#include <cpprest/json.h>
#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace oleanderhall {

namespace {

// Below PIPE_BUF, so that a line is written to a pipe completely or not at all.
constexpr std::size_t kMaxLineBytes = 4000;

std::string &entryHostName()
{
    static std::string name;
    return name;
}

std::atomic<unsigned long> &droppedCount()
{
    static std::atomic<unsigned long> count{0};
    return count;
}

/// Token bucket: allows kLogLinesPerSecond lines per second, and a burst of as many lines after a
/// second without any.
class LineRateLimiter
{
public:
    bool tryAcquire()
    {
        const std::lock_guard lock(m_mutex);
        const Instant now = monotonicNow();
        const std::chrono::duration<double> elapsed = now - m_lastRefill;
        m_lastRefill = now;
        m_availableLines = std::min<double>(
            kLogLinesPerSecond, m_availableLines + elapsed.count() * kLogLinesPerSecond);
        if (m_availableLines < 1)
            return false;
        m_availableLines -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    Instant m_lastRefill = monotonicNow();
    double m_availableLines = kLogLinesPerSecond;
};

/// Writes lines to standard output, and drops a line if the output is not ready for writing.
class NonBlockingSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) noexcept override
    {
        el::base::type::string_t line = data->logMessage()->logger()->logBuilder()->build(
            data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
        if (line.size() > kMaxLineBytes)
            line = line.substr(0, kMaxLineBytes - 1) + "\n";
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool isReady = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!isReady || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++droppedCount();
    }
};

template <typename Fields>
std::string formatLine(std::string_view event, const Fields &fields)
{
    web::json::value line = web::json::value::object(true);
    line["event"] = web::json::value::string(std::string(event));
    line["entry"] = web::json::value::string(entryHostName());
    for (const auto &[name, value] : fields)
        line[std::string(name)] = web::json::value::string(value);
    return line.serialize();
}

template <typename Fields>
void writeLine(std::string_view event, bool isWarning, const Fields &fields)
{
    static LineRateLimiter limiter;
    if (!limiter.tryAcquire()) {
        ++droppedCount();
        return;
    }
    static std::atomic<unsigned long> reported{0};
    const unsigned long droppedNow = droppedCount();
    if (droppedNow > reported.exchange(droppedNow))
        LOG(WARNING) << formatLine("log_lines_dropped",
                                   std::vector<std::pair<const char *, std::string>>{
                                       {"total", std::to_string(droppedNow)}});
    if (isWarning)
        LOG(WARNING) << formatLine(event, fields);
    else
        LOG(INFO) << formatLine(event, fields);
}

} // namespace

void startLog(const std::string &host)
{
    entryHostName() = host;
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    config.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(config);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<NonBlockingSink>("NonBlockingSink");
}

void logInfo(std::string_view event, LogFields fields)
{
    writeLine(event, false, fields);
}

void logWarning(std::string_view event, LogFields fields)
{
    writeLine(event, true, fields);
}

void logEvent(std::string_view event, bool isWarning,
              const std::vector<std::pair<const char *, std::string>> &fields)
{
    writeLine(event, isWarning, fields);
}

unsigned long droppedLogLines()
{
    return droppedCount();
}

} // namespace oleanderhall
