#include <utility>

#include "callers.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cpprest/json.h>

namespace load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr int kHttpVersion = 11;
constexpr std::chrono::milliseconds kReadinessPeriod{200};
constexpr std::chrono::milliseconds kResponseMargin{1500}; // wait beyond the request's time limit
constexpr int kMaxRetryAfterMs = 2000;
constexpr int kPercent = 100;

std::int64_t monotonicUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

asio::awaitable<void> pause(std::chrono::steady_clock::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::ip::tcp::endpoint endpointFrom(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/// Sends a request over a new connection. Throws when no complete response arrives within `limit`.
asio::awaitable<Response> exchange(asio::ip::tcp::endpoint address, Request request,
                                   std::chrono::milliseconds limit)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(limit);
    co_await stream.async_connect(address, asio::use_awaitable);
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    request.keep_alive(false);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    Response response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    co_return response;
}

void readRefusal(const Response &response, Attempt &attempt)
{
    if (response[http::field::content_type] != "application/problem+json")
        return;
    const auto json = web::json::value::parse(response.body());
    attempt.executionStatus = json.at("ran").as_string();
    attempt.reason = json.at("reason").as_string();
}

void readSuccess(const Response &response, Attempt &attempt)
{
    if (response.result() != http::status::ok)
        return;
    const auto json = web::json::value::parse(response.body());
    attempt.respondedRequestId = json.at("request").as_string();
}

} // namespace

Callers::Callers(CallerSettings settings, const oleanderhall::Register &config)
    : m_settings(std::move(settings))
    , m_config(config)
    , m_random(m_settings.seed)
{
    for (const std::string &text : m_settings.entries) {
        auto entry = std::make_unique<EntryHost>();
        entry->name = text;
        entry->address = endpointFrom(text);
        m_entries.push_back(std::move(entry));
    }
    for (const auto &[id, rule] : config.services)
        m_services.push_back(&rule);
    m_runName = "op" + std::to_string(m_settings.seed) + "-" + std::to_string(monotonicUs()) + "-";
}

std::vector<Attempt> Callers::run()
{
    for (const auto &entry : m_entries)
        asio::co_spawn(m_io, watchReadiness(*entry), asio::detached);
    asio::co_spawn(m_io, generate(), asio::detached);
    m_io.run();
    return std::move(m_attempts);
}

asio::awaitable<void> Callers::generate()
{
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + std::chrono::seconds(m_settings.seconds);
    const std::chrono::duration<double> spacing(1.0 / m_settings.ratePerSecond);
    asio::steady_timer timer(m_io);
    for (std::uint64_t count = 0;; ++count) {
        const auto due = start
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(spacing * count);
        if (due >= end)
            break;
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        const Operation operation = nextOperation();
        ++m_openOperations;
        asio::co_spawn(m_io, perform(operation, 0), asio::detached);
        const bool isDuplicated = operation.isUnrepeatable
            && static_cast<int>(m_random() % kPercent) < m_settings.duplicatePercent;
        if (isDuplicated) {
            // Differs from the numbers of the other sender, so that no two request ids are equal.
            constexpr int kDuplicateFirstNumber = 100;
            ++m_openOperations;
            asio::co_spawn(m_io, perform(operation, kDuplicateFirstNumber), asio::detached);
        }
    }
    while (m_openOperations > 0)
        co_await pause(std::chrono::milliseconds(20));
    m_isDone = true;
}

asio::awaitable<void> Callers::watchReadiness(EntryHost &entry)
{
    while (!m_isDone) {
        try {
            Request request(http::verb::get, "/readyz", kHttpVersion);
            request.set(http::field::host, entry.name);
            const Response response = co_await exchange(entry.address, std::move(request),
                                                        kReadinessPeriod);
            entry.isReady = response.result() == http::status::ok;
        } catch (const std::exception &) {
            entry.isReady = false;
        }
        co_await pause(kReadinessPeriod);
    }
}

asio::awaitable<void> Callers::perform(Operation operation, int firstNumber)
{
    for (int attempts = 0; attempts < m_settings.maxAttempts; ++attempts) {
        const Attempt attempt = co_await sendAttempt(operation, firstNumber + attempts,
                                                     pickEntryHost());
        record(attempt);
        if (attempt.hasUpstreamResponse())
            break;
        co_await pause(std::chrono::milliseconds(200 + static_cast<int>(m_random() % 300)));
    }
    --m_openOperations;
}

asio::awaitable<Attempt> Callers::sendAttempt(const Operation &operation, int number,
                                              EntryHost &entry)
{
    Attempt attempt{.operation = operation.id,
                    .number = number,
                    .entry = entry.name,
                    .service = operation.service,
                    .isUnrepeatable = operation.isUnrepeatable};
    Request request;
    request.version(kHttpVersion);
    request.method_string(operation.method);
    request.target("/" + operation.service + operation.path);
    request.set(http::field::host, entry.name);
    request.set("X-Request-Id", attempt.requestId());
    request.set("X-Work-Ms", std::to_string(m_settings.workMs));
    request.set("X-Request-Timeout-Ms", std::to_string(m_settings.timeoutMs));
    if (operation.isUnrepeatable) {
        request.set("Idempotency-Key", operation.id);
        request.body() = "{\"operation\":\"" + operation.id + "\"}";
    }
    attempt.sentUs = monotonicUs();
    try {
        const auto limit = std::chrono::milliseconds(m_settings.timeoutMs) + kResponseMargin;
        const Response response = co_await exchange(entry.address, std::move(request), limit);
        attempt.status = response.result_int();
        readRefusal(response, attempt);
        readSuccess(response, attempt);
    } catch (const std::exception &error) {
        attempt.reason = "no_answer";
    }
    attempt.doneUs = monotonicUs();
    co_return attempt;
}

Callers::Operation Callers::nextOperation()
{
    Operation operation;
    operation.id = m_runName + std::to_string(++m_lastOperation);
    const oleanderhall::ServiceRule &rule = *m_services[m_random() % m_services.size()];
    operation.service = rule.id.name();
    operation.isUnrepeatable = !rule.unrepeatable.empty()
        && static_cast<int>(m_random() % kPercent) < m_settings.unrepeatablePercent;
    if (operation.isUnrepeatable) {
        const auto &call = rule.unrepeatable[m_random() % rule.unrepeatable.size()];
        operation.method = call.method;
        operation.path = call.pathPrefix;
    } else {
        operation.path = "/records/" + std::to_string(m_lastOperation);
    }
    return operation;
}

Callers::EntryHost &Callers::pickEntryHost()
{
    std::vector<EntryHost *> ready;
    for (const auto &entry : m_entries) {
        if (entry->isReady)
            ready.push_back(entry.get());
    }
    if (ready.empty())
        return *m_entries[m_random() % m_entries.size()];
    return *ready[m_random() % ready.size()];
}

void Callers::record(const Attempt &attempt)
{
    m_attempts.push_back(attempt);
}

} // namespace load
