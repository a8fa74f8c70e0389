#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/routing/refusalreason.h"
#include "oleanderhall/routing/retryreason.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace oleanderhall {

/// Internal: the daemon's counters, gauges and histograms, rendered in the Prometheus text format.
/// Every refusal and retry reason has a counter from the start. May be used by any thread; its
/// mutex is the last in the lock order.
class Metrics
{
public:
    Metrics();

    void countRefusal(RefusalReason reason) { ++m_refusals[static_cast<std::size_t>(reason)]; }
    void countRetry(RetryReason reason) { ++m_retries[static_cast<std::size_t>(reason)]; }
    void countFirstAttempt() { ++m_firstAttempts; }
    /// Counts a response to a caller by the class of its status and records its latency.
    void countResponse(int status, Millis duration);
    /// Adds `amount` to the counter `name`, which should end in `_total`.
    void count(const std::string &name, std::uint64_t amount = 1);
    /// Adds 1 to the counter `name` with `labels`, such as `kind="a"`, whose values must be escaped
    /// and few.
    void countLabelled(const std::string &name, const std::string &labels);
    /// Sets the gauge `name`, which may end with labels in braces.
    void gauge(const std::string &name, double value);
    /// Records `duration` in the latency histogram `name`, which should end in `_seconds`.
    void observe(const std::string &name, Millis duration);
    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    using LatencyHistogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::variable<double>()));

    std::array<std::atomic<std::uint64_t>, kRefusalReasonCount> m_refusals{};
    std::array<std::atomic<std::uint64_t>, kRetryReasonCount> m_retries{};
    std::atomic<std::uint64_t> m_firstAttempts{0};
    mutable std::mutex m_mutex;
    struct Latency
    {
        LatencyHistogram histogram;
        double sum = 0; ///< In seconds.
    };

    void addLatency(const std::string &name, Millis duration);

    std::map<std::string, Latency> m_latencies;
    std::map<int, std::uint64_t> m_responses;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_labelledCounters; ///< By name.
    std::map<std::string, double> m_gauges;
};

} // namespace oleanderhall
