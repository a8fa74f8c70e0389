#include "metrics.h"

#include <sstream>

namespace oleanderhall {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr int kStatusClassSize = 100;
constexpr const char *kResponseLatencyName = "answer_seconds"; // Latency of responses to callers

auto latencyAxis()
{
    return boost::histogram::axis::variable<double>(
        {0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}, "milliseconds");
}

void writeType(std::ostream &out, const std::string &name, const char *type)
{
    out << "# TYPE oleanderhall_" << name << " " << type << "\n";
}

template <typename Histogram>
void writeHistogram(std::ostream &out, const std::string &name, const Histogram &histogram,
                    double sum)
{
    writeType(out, name, "histogram");
    // Index -1 is the underflow bin, index size() the overflow bin.
    double cumulative = histogram.at(-1);
    for (const auto &bin : boost::histogram::indexed(histogram)) {
        cumulative += *bin;
        out << "oleanderhall_" << name << "_bucket{le=\"" << bin.bin().upper() / kMillisPerSecond
            << "\"} " << cumulative << "\n";
    }
    cumulative += histogram.at(histogram.axis().size());
    out << "oleanderhall_" << name << "_bucket{le=\"+Inf\"} " << cumulative << "\n";
    out << "oleanderhall_" << name << "_sum " << sum << "\n";
    out << "oleanderhall_" << name << "_count " << cumulative << "\n";
}

} // namespace

Metrics::Metrics()
{
    m_latencies.emplace(kResponseLatencyName,
                        Latency{boost::histogram::make_histogram(latencyAxis())});
}

void Metrics::countResponse(int status, Millis duration)
{
    const std::lock_guard lock(m_mutex);
    addLatency(kResponseLatencyName, duration);
    ++m_responses[status / kStatusClassSize];
}

void Metrics::observe(const std::string &name, Millis duration)
{
    const std::lock_guard lock(m_mutex);
    addLatency(name, duration);
}

void Metrics::addLatency(const std::string &name, Millis duration)
{
    auto found = m_latencies.find(name);
    if (found == m_latencies.end())
        found = m_latencies.emplace(name, Latency{boost::histogram::make_histogram(latencyAxis())})
                    .first;
    const auto milliseconds = static_cast<double>(duration.count());
    found->second.histogram(milliseconds);
    found->second.sum += milliseconds / kMillisPerSecond;
}

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] += amount;
}

void Metrics::countLabelled(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    ++m_labelledCounters[name][labels];
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
    out << "oleanderhall_first_tries_total " << m_firstAttempts << "\n";
    const std::lock_guard lock(m_mutex);
    writeType(out, "answers_total", "counter");
    for (const auto &[statusClass, amount] : m_responses)
        out << "oleanderhall_answers_total{class=\"" << statusClass << "xx\"} " << amount << "\n";
    for (const auto &[name, amount] : m_counters) {
        writeType(out, name, "counter");
        out << "oleanderhall_" << name << " " << amount << "\n";
    }
    for (const auto &[name, series] : m_labelledCounters) {
        writeType(out, name, "counter");
        for (const auto &[labels, amount] : series)
            out << "oleanderhall_" << name << "{" << labels << "} " << amount << "\n";
    }
    std::string lastBase;
    for (const auto &[name, value] : m_gauges) {
        // A name may end with labels in braces; its values follow each other in the map.
        const std::string base = name.substr(0, name.find('{'));
        if (base != lastBase)
            writeType(out, base, "gauge");
        lastBase = base;
        out << "oleanderhall_" << name << " " << value << "\n";
    }
    for (const auto &[name, latency] : m_latencies)
        writeHistogram(out, name, latency.histogram, latency.sum);
    return out.str();
}

} // namespace oleanderhall
