#include "../../src/daemon/metrics.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("Metrics_observedLatency_isRenderedAsHistogram", "[metrics]")
{
    Metrics metrics;
    metrics.observe("table_call_seconds", Millis(3));
    metrics.observe("table_call_seconds", Millis(8000));
    const std::string text = metrics.text();
    CHECK(text.find("# TYPE oleanderhall_table_call_seconds histogram") != std::string::npos);
    CHECK(text.find("table_call_seconds_bucket{le=\"0.005\"} 1\n") != std::string::npos);
    CHECK(text.find("table_call_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("table_call_seconds_sum 8.003\n") != std::string::npos);
}

TEST_CASE("Metrics_answer_countsItsClassAndTime", "[metrics]")
{
    Metrics metrics;
    metrics.countResponse(503, Millis(1));
    const std::string text = metrics.text();
    CHECK(text.find("answers_total{class=\"5xx\"} 1\n") != std::string::npos);
    CHECK(text.find("answer_seconds_count 1\n") != std::string::npos);
}
