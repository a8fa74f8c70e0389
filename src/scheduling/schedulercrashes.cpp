// Workers that crash: which of their runs may be the cause.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr int kReadyPercent = 100;
constexpr std::size_t kMaxTasksPerLine = 32; // of a log line, which is cut at 2 KB

} // namespace

/// Returns whether the run may crash its worker. A long-running task that was ready has proved that
/// it doesn't.
bool Scheduler::mayCrashWorker(const WorkerRun &run)
{
    return !run.isLongRunning || run.progressPercent < kReadyPercent;
}

/// Returns whether the end of the worker was announced, or a host command may have caused it.
bool Scheduler::isEndExpected(const WorkerState &worker, Instant now)
{
    return worker.info.isDraining || worker.isTerminating || now < worker.distrustedUntil;
}

/// Records that the worker has terminated without notice, before its runs are dropped.
void Scheduler::onWorkerCrashed(const WorkerState &worker, Instant now)
{
    if (worker.runs.empty() || isEndExpected(worker, now))
        return;
    std::string tasks;
    std::size_t suspects = 0;
    for (const WorkerRun &run : worker.runs) {
        if (!mayCrashWorker(run) || ++suspects > kMaxTasksPerLine)
            continue;
        tasks += (tasks.empty() ? "" : " ") + textOf(run.task);
    }
    logDecision({"worker_crashed",
                 {{"worker", worker.info.id.name()},
                  {"runs", std::to_string(worker.runs.size())},
                  {"suspects", std::to_string(suspects)},
                  {"tasks", tasks}},
                 true});
}

} // namespace oleanderhall
