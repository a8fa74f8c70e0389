#include "metrics.h"

#include <sstream>

namespace oleanderhall {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr int kStatusClass = 100;

auto latencyAxis()
{
    return boost::histogram::axis::variable<double>(
        {0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}, "milliseconds");
}

void writeType(std::ostream &out, const std::string &name, const char *type)
{
    out << "# TYPE oleanderhall_" << name << " " << type << "\n";
}

} // namespace

Metrics::Metrics()
    : m_latency(boost::histogram::make_histogram(latencyAxis()))
{}

void Metrics::countAnswer(int status, Millis took)
{
    const std::lock_guard lock(m_mutex);
    const auto milliseconds = static_cast<double>(took.count());
    m_latency(milliseconds);
    m_latencySum += milliseconds / kMillisPerSecond;
    ++m_answers[status / kStatusClass];
}

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] += amount;
}

void Metrics::gauge(const std::string &name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    writeType(out, "refusals_total", "counter");
    for (int index = 0; index < kRefusalReasonCount; ++index) {
        out << "oleanderhall_refusals_total{reason=\"" << nameOf(static_cast<RefusalReason>(index))
            << "\"} " << m_refusals[index] << "\n";
    }
    writeType(out, "retries_total", "counter");
    for (int index = 0; index < kRetryReasonCount; ++index) {
        out << "oleanderhall_retries_total{reason=\"" << nameOf(static_cast<RetryReason>(index))
            << "\"} " << m_retries[index] << "\n";
    }
    writeType(out, "first_tries_total", "counter");
    out << "oleanderhall_first_tries_total " << m_firstTries << "\n";
    const std::lock_guard lock(m_mutex);
    writeType(out, "answers_total", "counter");
    for (const auto &[statusClass, amount] : m_answers)
        out << "oleanderhall_answers_total{class=\"" << statusClass << "xx\"} " << amount << "\n";
    for (const auto &[name, amount] : m_counters) {
        writeType(out, name, "counter");
        out << "oleanderhall_" << name << " " << amount << "\n";
    }
    for (const auto &[name, value] : m_gauges) {
        writeType(out, name, "gauge");
        out << "oleanderhall_" << name << " " << value << "\n";
    }
    writeType(out, "answer_seconds", "histogram");
    double cumulative = m_latency.at(-1);
    for (const auto &bin : boost::histogram::indexed(m_latency)) {
        cumulative += *bin;
        out << "oleanderhall_answer_seconds_bucket{le=\"" << bin.bin().upper() / kMillisPerSecond
            << "\"} " << cumulative << "\n";
    }
    cumulative += m_latency.at(m_latency.axis().size());
    out << "oleanderhall_answer_seconds_bucket{le=\"+Inf\"} " << cumulative << "\n";
    out << "oleanderhall_answer_seconds_sum " << m_latencySum << "\n";
    out << "oleanderhall_answer_seconds_count " << cumulative << "\n";
    return out.str();
}

} // namespace oleanderhall
