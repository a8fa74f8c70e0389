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
    std::vector<std::int64_t> answered;
    std::vector<std::int64_t> refused;
    std::set<std::string> operations;
    std::set<std::string> done;
    int noAnswer = 0;
    int unknown = 0;
    for (const Attempt &attempt : attempts) {
        operations.insert(attempt.operation);
        if (attempt.status == 0) {
            ++noAnswer;
        } else if (attempt.isSuccess()) {
            answered.push_back(attempt.doneUs - attempt.sentUs);
            done.insert(attempt.operation);
        } else {
            ++refusals[attempt.reason];
            refused.push_back(attempt.doneUs - attempt.sentUs);
            unknown += attempt.executionStatus == "unknown" ? 1 : 0;
        }
    }
    std::sort(answered.begin(), answered.end());
    std::sort(refused.begin(), refused.end());
    std::cout << "operations " << operations.size() << ", done " << done.size() << "\n"
              << "attempts " << attempts.size() << ": answered " << answered.size() << ", refused "
              << refused.size() << " (outcome unknown " << unknown << "), no answer " << noAnswer
              << "\n";
    for (const auto &[reason, count] : refusals)
        std::cout << "  refused " << reason << " " << count << "\n";
    std::cout << "latency of answers ms: p50 " << percentile(answered, 0.5) << " p90 "
              << percentile(answered, 0.9) << " p99 " << percentile(answered, 0.99) << " max "
              << percentile(answered, 1) << "\n"
              << "latency of refusals ms: p50 " << percentile(refused, 0.5) << " p99 "
              << percentile(refused, 0.99) << " max " << percentile(refused, 1) << "\n";
}

} // namespace load
