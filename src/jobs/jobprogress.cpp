#include "oleanderhall/jobs/jobprogress.h"

#include <cpprest/json.h>

#include <algorithm>

namespace oleanderhall {

namespace {

using web::json::value;

constexpr std::size_t kTaskFields = 7; // elements of a task's array

value encodeTask(const TaskProgress &task)
{
    value runs = value::array();
    for (std::size_t index = 0; index < task.endedRuns.size(); ++index)
        runs[index] = value(task.endedRuns[index]);
    return value::array({value(task.occurrence), value(task.step), value(task.index),
                         value(task.isDone ? 1 : 0), value(task.failures), runs,
                         value(task.checkpoint)});
}

TaskProgress decodeTask(const value &row)
{
    if (row.size() != kTaskFields)
        throw web::json::json_exception("a task's record has a wrong number of elements");
    TaskProgress task{.occurrence = row.at(0).as_integer(),
                      .step = row.at(1).as_integer(),
                      .index = row.at(2).as_integer(),
                      .isDone = row.at(3).as_integer() != 0,
                      .failures = row.at(4).as_integer()};
    for (const value &run : row.at(5).as_array())
        task.endedRuns.push_back(run.as_number().to_int64());
    task.checkpoint = row.at(6).as_string();
    return task;
}

value encodePools(const std::vector<PoolId> &pools)
{
    value names = value::array();
    for (const PoolId pool : pools)
        names[names.size()] = value(pool.name());
    return names;
}

/// Encodes the tasks under which workers crashed. They are apart from the tasks' arrays, whose
/// length earlier versions check.
value encodeCrashes(const std::vector<TaskProgress> &tasks)
{
    value crashes = value::array();
    for (const TaskProgress &task : tasks) {
        if (task.crashes > 0)
            crashes[crashes.size()] = value::array(
                {value(task.occurrence), value(task.step), value(task.index), value(task.crashes)});
    }
    return crashes;
}

void decodeCrashes(const value &crashes, std::vector<TaskProgress> &tasks)
{
    for (const value &row : crashes.as_array()) {
        const auto isTask = [&](const TaskProgress &task) {
            return task.occurrence == row.at(0).as_integer() && task.step == row.at(1).as_integer()
                && task.index == row.at(2).as_integer();
        };
        const auto task = std::find_if(tasks.begin(), tasks.end(), isTask);
        if (task != tasks.end())
            task->crashes = row.at(3).as_integer();
    }
}

} // namespace

std::string encodeProgress(const JobProgress &progress)
{
    value tasks = value::array();
    for (std::size_t index = 0; index < progress.tasks.size(); ++index)
        tasks[index] = encodeTask(progress.tasks[index]);
    value record = value::object();
    record["state"] = value(static_cast<int>(progress.state));
    record["accepted"] = value(progress.acceptedMs);
    if (!progress.team.empty())
        record["team"] = value(progress.team.name());
    if (progress.isReleased)
        record["released"] = value(true);
    if (!progress.releasedPools.empty())
        record["pools"] = encodePools(progress.releasedPools);
    if (progress.isWithdrawn)
        record["withdrawn"] = value(true);
    if (progress.stillRunning != Resources())
        record["running"] = value::array({value(progress.stillRunning.milliCores),
                                          value(progress.stillRunning.memoryMb),
                                          value(progress.stillRunning.gpus)});
    if (tasks.size() > 0)
        record["tasks"] = tasks;
    if (const value crashes = encodeCrashes(progress.tasks); crashes.size() > 0)
        record["crashes"] = crashes;
    return record.serialize();
}

std::optional<JobProgress> decodeProgress(JobId id, const std::string &text)
{
    try {
        const value record = value::parse(text);
        const int state = record.at("state").as_integer();
        if (state < 0 || state > static_cast<int>(JobState::Cancelled))
            return std::nullopt;
        JobProgress progress{.id = id, .state = static_cast<JobState>(state)};
        progress.acceptedMs = record.at("accepted").as_number().to_int64();
        progress.isReleased = record.has_field("released");
        if (record.has_field("pools")) {
            for (const value &pool : record.at("pools").as_array())
                progress.releasedPools.emplace_back(pool.as_string());
        }
        if (record.has_field("team"))
            progress.team = TeamId(record.at("team").as_string());
        progress.isWithdrawn = record.has_field("withdrawn");
        if (record.has_field("running")) {
            const value &running = record.at("running");
            progress.stillRunning = {.milliCores = running.at(0).as_number().to_int64(),
                                     .memoryMb = running.at(1).as_number().to_int64(),
                                     .gpus = running.at(2).as_number().to_int64()};
        }
        if (record.has_field("tasks")) {
            for (const value &row : record.at("tasks").as_array())
                progress.tasks.push_back(decodeTask(row));
        }
        if (record.has_field("crashes"))
            decodeCrashes(record.at("crashes"), progress.tasks);
        return progress;
    } catch (const web::json::json_exception &) {
        return std::nullopt; // callers log the error with the job's id
    }
}

} // namespace oleanderhall
