#include "ownerload.h"

#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include <chrono>
#include <string>

namespace oleanderhall {

namespace {

constexpr Millis kReportInterval{1000};

Millis inMillis(Instant::duration time)
{
    return std::chrono::duration_cast<Millis>(time);
}

} // namespace

void OwnerLoad::add(const Step &step)
{
    ++m_steps;
    m_total.planning += step.planning;
    m_total.deciding += step.deciding;
    m_total.sending += step.sending;
}

void OwnerLoad::report(const std::vector<QueueLoad> &queues, Millis readAge, Instant now)
{
    m_next = now + kReportInterval;
    QueueLoad sum;
    for (const QueueLoad &queue : queues) {
        sum.waitingJobs += queue.waitingJobs;
        sum.unconfirmedJobs += queue.unconfirmedJobs;
    }
    const std::pair<const char *, std::int64_t> figures[] = {
        {"steps", m_steps},
        {"planning_ms", inMillis(m_total.planning).count()},
        {"deciding_ms", inMillis(m_total.deciding).count()},
        {"sending_ms", inMillis(m_total.sending).count()},
        {"waiting_jobs", sum.waitingJobs},
        {"unconfirmed_jobs", sum.unconfirmedJobs},
        {"jobs_read_age_ms", readAge.count()}};
    std::vector<std::pair<const char *, std::string>> fields;
    for (const auto &[name, value] : figures) {
        fields.emplace_back(name, std::to_string(value));
        m_metrics.gauge(std::string("owner_") + name, static_cast<double>(value));
    }
    logEvent("owner_load", false, fields);
    m_steps = 0;
    m_total = {};
}

} // namespace oleanderhall
