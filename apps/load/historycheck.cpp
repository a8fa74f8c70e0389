#include "historycheck.h"

#include "oleanderhall/fleet/fleetstate.h"

#include <iostream>
#include <set>

namespace load {

using namespace oleanderhall;

namespace {

/// Limit for new executions on a draining host, counted from the commit of the drain: the earliest
/// time at which an entry host can know of it.
constexpr std::int64_t kStartDelayLimitUs = 3000000;
constexpr double kMicrosPerSecond = 1e6;
constexpr int kMaxPrinted = 10;

std::string operationOf(const std::string &requestId)
{
    return requestId.substr(0, requestId.rfind('.'));
}

void checkRequests(const Records &records, CheckReport &report)
{
    std::map<std::string, std::vector<const Execution *>> executionsOfOperation;
    std::map<std::string, int> executionsOfRequest;
    for (const Execution &execution : records.executions) {
        executionsOfOperation[operationOf(execution.requestId)].push_back(&execution);
        ++executionsOfRequest[execution.requestId];
    }
    std::set<std::string> reported;
    for (const Attempt &attempt : records.attempts) {
        const auto &executions = executionsOfOperation[attempt.operation];
        if (attempt.isUnrepeatable && executions.size() > 1
            && reported.insert(attempt.operation).second) {
            ++report.doubleExecutions;
            report.violations.push_back("ran " + std::to_string(executions.size())
                                        + " times: " + executions[0]->requestId + " on "
                                        + executions[0]->host + ", " + executions[1]->requestId
                                        + " on " + executions[1]->host);
        }
        if (attempt.executionStatus == "no" && executionsOfRequest[attempt.requestId()] > 0) {
            ++report.falseNotExecuted;
            report.violations.push_back("refused as not run, but was executed: "
                                        + attempt.requestId() + " reason " + attempt.reason);
        }
        if (attempt.hasUpstreamResponse() && attempt.respondedRequestId != "-"
            && operationOf(attempt.respondedRequestId) != attempt.operation) {
            ++report.wrongResponses;
            report.violations.push_back("answer of " + attempt.respondedRequestId + " went to "
                                        + attempt.requestId());
        }
        if (attempt.respondedRequestId != "-" && executions.empty()) {
            ++report.responsesWithoutExecution;
            report.violations.push_back("response without an execution: " + attempt.requestId());
        }
    }
}

/// Replays the log. Checks that no drain, except of a leaving host, exceeds the disruption budget
/// of its pool, that no execution starts late on a draining host and that only stopped hosts change
/// their pool. Measures the duration of waves and the number of serving hosts without an instance.
class LogChecker
{
public:
    LogChecker(const Records &records, CheckReport &report, bool isTimed)
        : m_records(records)
        , m_report(report)
        , m_isTimed(isTimed)
    {
        for (const Execution &execution : records.executions)
            m_executionsOfHost[execution.host].push_back(&execution);
    }

    void check()
    {
        double bufferSum = 0;
        int samples = 0;
        for (const LogEntry &entry : m_records.log) {
            std::vector<HostRecord> before;
            for (const Change &change : entry.changes) {
                const auto *host = std::get_if<HostChange>(&change);
                const HostRecord *known = host ? m_state.record(host->record.id) : nullptr;
                if (known)
                    before.push_back(*known);
            }
            if (!m_state.apply(entry)) {
                m_report.violations.push_back("the log has a gap before sequence "
                                              + std::to_string(entry.sequence.value));
                return;
            }
            for (const HostRecord &known : before)
                checkHostChange(entry, known, *m_state.record(known.id));
            checkWaves(entry);
            if (m_waveStartsUs.empty())
                continue;
            bufferSum += bufferHostCount();
            ++samples;
        }
        if (samples > 0)
            m_report.meanBufferHosts = bufferSum / samples;
    }

private:
    std::int64_t timeOf(const LogEntry &entry) const
    {
        const auto found = m_records.commitTimesUs.find(entry.operation);
        return found == m_records.commitTimesUs.end() ? 0 : found->second;
    }

    void checkHostChange(const LogEntry &entry, const HostRecord &before, const HostRecord &after)
    {
        if (before.pool != after.pool) {
            ++m_report.moves;
            if (before.state != HostState::Stopped) {
                ++m_report.poolViolations;
                m_report.violations.push_back(after.id.name() + " changed its pool while "
                                              + std::string(nameOf(before.state)));
            }
        }
        const bool startsDrain = before.state == HostState::Serving
            && after.state == HostState::Draining;
        if (!startsDrain)
            return;
        checkLateStarts(entry, after);
        if (after.disruption != Disruption::Leave)
            checkBudget(entry, after);
    }

    void checkBudget(const LogEntry &entry, const HostRecord &host)
    {
        const auto rule = m_state.config().pools.find(host.pool);
        if (rule == m_state.config().pools.end())
            return;
        int available = 0;
        int unavailable = 0;
        std::set<RackId> racks;
        for (const HostId id : m_state.hostsOf(host.pool)) {
            const HostRecord &record = *m_state.record(id);
            if (record.state == HostState::Serving) {
                ++available;
                continue;
            }
            ++unavailable;
            const HostSpec *spec = m_state.spec(id);
            if (record.disruption != Disruption::None && spec)
                racks.insert(spec->rack);
        }
        if (available >= rule->second.minAvailable && unavailable <= rule->second.maxUnavailable
            && static_cast<int>(racks.size()) <= rule->second.maxDisruptedRacks)
            return;
        ++m_report.budgetViolations;
        m_report.violations.push_back("sequence " + std::to_string(entry.sequence.value)
                                      + " drains " + host.id.name() + " of pool " + host.pool.name()
                                      + " with " + std::to_string(available) + " available, "
                                      + std::to_string(unavailable) + " unavailable");
    }

    void checkLateStarts(const LogEntry &entry, const HostRecord &host)
    {
        const std::int64_t drainedUs = timeOf(entry);
        const std::int64_t rejoinedUs = nextJoiningUs(entry, host.id);
        for (const Execution *execution : m_executionsOfHost[host.id.name()]) {
            if (execution->startUs <= drainedUs
                || (rejoinedUs > 0 && execution->startUs >= rejoinedUs))
                continue;
            const std::int64_t delayUs = execution->startUs - drainedUs;
            m_report.maxStartDelayUs = std::max(m_report.maxStartDelayUs, delayUs);
            if (delayUs <= kStartDelayLimitUs)
                continue;
            ++m_report.lateStarts;
            if (!m_isTimed)
                continue;
            m_report.violations.push_back(execution->requestId + " started on " + execution->host
                                          + " " + std::to_string(delayUs) + " us after its drain");
        }
    }

    std::int64_t nextJoiningUs(const LogEntry &drain, HostId host) const
    {
        for (const LogEntry &entry : m_records.log) {
            if (entry.sequence <= drain.sequence)
                continue;
            for (const Change &change : entry.changes) {
                const auto *hostChange = std::get_if<HostChange>(&change);
                if (hostChange && hostChange->record.id == host
                    && hostChange->record.state == HostState::Joining)
                    return timeOf(entry);
            }
        }
        return 0;
    }

    void checkWaves(const LogEntry &entry)
    {
        for (const Change &change : entry.changes) {
            const auto *wave = std::get_if<WaveChange>(&change);
            if (!wave)
                continue;
            if (!m_waveStartsUs.contains(wave->record.id))
                m_waveStartsUs[wave->record.id] = timeOf(entry);
            if (wave->record.status == WaveStatus::Done) {
                const auto durationUs = timeOf(entry) - m_waveStartsUs[wave->record.id];
                m_report.rollOutSeconds = std::max(
                    m_report.rollOutSeconds, static_cast<double>(durationUs) / kMicrosPerSecond);
            }
        }
    }

    double bufferHostCount() const
    {
        int count = 0;
        for (const auto &[id, record] : m_state.hosts())
            count += record.state == HostState::Serving && record.instances.empty() ? 1 : 0;
        return count;
    }

    const Records &m_records;
    CheckReport &m_report;
    bool m_isTimed;
    FleetState m_state;
    std::map<std::string, std::vector<const Execution *>> m_executionsOfHost;
    std::map<WaveId, std::int64_t> m_waveStartsUs;
};

} // namespace

CheckReport checkHistory(const Records &records, bool isTimed)
{
    CheckReport report;
    checkRequests(records, report);
    LogChecker(records, report, isTimed).check();
    return report;
}

bool printReport(const CheckReport &report)
{
    std::cout << "double executions      " << report.doubleExecutions << "\n"
              << "false 'not run'        " << report.falseNotExecuted << "\n"
              << "wrong answers          " << report.wrongResponses << "\n"
              << "answers without a run  " << report.responsesWithoutExecution << "\n"
              << "budget violations      " << report.budgetViolations << "\n"
              << "pool violations        " << report.poolViolations << "\n"
              << "late new work          " << report.lateStarts << " (last "
              << static_cast<double>(report.maxStartDelayUs) / kMicrosPerSecond
              << " s after a drain, bound 3 s)\n"
              << "moves                  " << report.moves << "\n"
              << "roll-out time          " << report.rollOutSeconds << " s\n"
              << "buffer cost            " << report.meanBufferHosts
              << " hosts without an instance\n";
    int printed = 0;
    for (const std::string &violation : report.violations) {
        if (++printed > kMaxPrinted)
            break;
        std::cout << "VIOLATION " << violation << "\n";
    }
    return report.violations.empty();
}

} // namespace load
