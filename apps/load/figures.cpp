#include "figures.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

namespace load {

namespace {

constexpr double kMicrosPerMilli = 1000;

double percentile(const std::vector<std::int64_t> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[index]) / kMicrosPerMilli;
}

} // namespace

void printStatistics(const std::vector<Attempt> &attempts)
{
    std::map<std::string, int> refusals;
    std::vector<std::int64_t> responseLatencies;
    std::vector<std::int64_t> refusalLatencies;
    std::set<std::string> operations;
    std::set<std::string> doneOperations;
    int withoutResponse = 0;
    int unknownOutcomes = 0;
    for (const Attempt &attempt : attempts) {
        operations.insert(attempt.operation);
        if (attempt.status == 0) {
            ++withoutResponse;
        } else if (attempt.hasUpstreamResponse()) {
            responseLatencies.push_back(attempt.doneUs - attempt.sentUs);
            doneOperations.insert(attempt.operation);
        } else {
            ++refusals[attempt.reason];
            refusalLatencies.push_back(attempt.doneUs - attempt.sentUs);
            unknownOutcomes += attempt.executionStatus == "unknown" ? 1 : 0;
        }
    }
    std::sort(responseLatencies.begin(), responseLatencies.end());
    std::sort(refusalLatencies.begin(), refusalLatencies.end());
    std::cout << "operations " << operations.size() << ", done " << doneOperations.size() << "\n"
              << "attempts " << attempts.size() << ": answered " << responseLatencies.size()
              << ", refused " << refusalLatencies.size() << " (outcome unknown " << unknownOutcomes
              << "), no answer " << withoutResponse << "\n";
    for (const auto &[reason, count] : refusals)
        std::cout << "  refused " << reason << " " << count << "\n";
    std::cout << "latency of answers ms: p50 " << percentile(responseLatencies, 0.5) << " p90 "
              << percentile(responseLatencies, 0.9) << " p99 "
              << percentile(responseLatencies, 0.99) << " max " << percentile(responseLatencies, 1)
              << "\n"
              << "latency of refusals ms: p50 " << percentile(refusalLatencies, 0.5) << " p99 "
              << percentile(refusalLatencies, 0.99) << " max " << percentile(refusalLatencies, 1)
              << "\n";
}

} // namespace load
