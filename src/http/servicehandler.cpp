#include <utility>

#include "servicehandler.h"

#include "callparser.h"
#include "dispatcher.h"
#include "problem.h"
#include "routetable.h"

#include "../daemon/metrics.h"

namespace oleanderhall {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr Millis kRetryAfter{1000};

Reply healthReply(bool isHealthy)
{
    return {.status = isHealthy ? kOk : kServiceUnavailable,
            .headers = {{"Content-Type", "text/plain"}},
            .body = isHealthy ? "ok\n" : "not ready\n"};
}

class ServiceHandler
{
public:
    ServiceHandler(Dispatcher &dispatcher, const RouteTable &routes, Metrics &metrics,
                   std::function<bool()> isReady, const std::atomic<bool> &isDraining)
        : m_dispatcher(dispatcher)
        , m_routes(routes)
        , m_metrics(metrics)
        , m_isReady(std::move(isReady))
        , m_isDraining(isDraining)
    {}

    asio::awaitable<Reply> handle(HttpRequest &request)
    {
        if (request.target() == "/livez")
            co_return healthReply(true);
        if (request.target() == "/readyz")
            co_return healthReply(m_isReady());
        if (!m_isReady() && !m_isDraining) {
            m_metrics.countRefusal(RefusalReason::NoView);
            co_return problemReply(
                {RefusalReason::NoView, ExecutionStatus::NotExecuted, kRetryAfter});
        }
        const auto lookup = [this](std::string_view service) { return m_routes.ruleOf(service); };
        auto parsed = parseCall(request, lookup, std::chrono::steady_clock::now());
        if (const auto *refusal = std::get_if<Refusal>(&parsed)) {
            m_metrics.countRefusal(refusal->reason);
            co_return problemReply(*refusal);
        }
        co_return co_await m_dispatcher.dispatch(std::move(std::get<Call>(parsed)));
    }

private:
    Dispatcher &m_dispatcher;
    const RouteTable &m_routes;
    Metrics &m_metrics;
    std::function<bool()> m_isReady;
    const std::atomic<bool> &m_isDraining;
};

} // namespace

RequestHandler makeServiceHandler(Dispatcher &dispatcher, const RouteTable &routes,
                                  Metrics &metrics, std::function<bool()> isReady,
                                  const std::atomic<bool> &isDraining)
{
    auto handler = std::make_shared<ServiceHandler>(dispatcher, routes, metrics, std::move(isReady),
                                                    isDraining);
    return [handler](HttpRequest &request) { return handler->handle(request); };
}

} // namespace oleanderhall
