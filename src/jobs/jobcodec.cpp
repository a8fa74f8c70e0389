#include "oleanderhall/jobs/jobcodec.h"

#include <cpprest/json.h>

namespace oleanderhall {

namespace {

using web::json::value;

// Bits of a step's "flags".
constexpr int kGangFlag = 1 << 0;
constexpr int kOneRackFlag = 1 << 1;
constexpr int kSpeculationFlag = 1 << 2;
constexpr int kLongRunningFlag = 1 << 3;
constexpr int kIdleCoresFlag = 1 << 4;
constexpr int kSavesProgressFlag = 1 << 5;

value encodeStep(const StepSpec &step)
{
    value record = value::object();
    record["count"] = value(step.count);
    record["cores"] = value(step.need.milliCores);
    record["memory"] = value(step.need.memoryMb);
    record["gpus"] = value(step.need.gpus);
    record["estimate"] = value(static_cast<std::int64_t>(step.estimate.count()));
    value after = value::array();
    for (std::size_t index = 0; index < step.after.size(); ++index)
        after[index] = value(step.after[index]);
    record["after"] = after;
    record["flags"] = value((step.isGang ? kGangFlag : 0) | (step.needsOneRack ? kOneRackFlag : 0)
                            | (step.allowsSpeculation ? kSpeculationFlag : 0)
                            | (step.isLongRunning ? kLongRunningFlag : 0)
                            | (step.usesIdleCores ? kIdleCoresFlag : 0)
                            | (step.savesProgress ? kSavesProgressFlag : 0));
    record["label"] = value(step.requiredLabel);
    record["rack"] = value(step.dataRack);
    record["spread"] = value(step.maxPerWorker);
    record["image"] = value(step.image);
    record["latency"] = value(static_cast<std::int64_t>(step.latencyTarget.count()));
    record["miss"] = value(step.maxDisrupted);
    return record;
}

StepSpec decodeStep(const value &record)
{
    StepSpec step;
    step.count = record.at("count").as_integer();
    step.need = {record.at("cores").as_number().to_int64(),
                 record.at("memory").as_number().to_int64(),
                 record.at("gpus").as_number().to_int64()};
    step.estimate = Millis(record.at("estimate").as_number().to_int64());
    for (const value &earlier : record.at("after").as_array())
        step.after.push_back(earlier.as_integer());
    const int flags = record.at("flags").as_integer();
    step.isGang = (flags & kGangFlag) != 0;
    step.needsOneRack = (flags & kOneRackFlag) != 0;
    step.allowsSpeculation = (flags & kSpeculationFlag) != 0;
    step.isLongRunning = (flags & kLongRunningFlag) != 0;
    step.usesIdleCores = (flags & kIdleCoresFlag) != 0;
    step.savesProgress = (flags & kSavesProgressFlag) != 0;
    step.requiredLabel = record.at("label").as_string();
    step.dataRack = record.at("rack").as_string();
    step.maxPerWorker = record.at("spread").as_integer();
    step.image = record.at("image").as_string();
    step.latencyTarget = Millis(record.at("latency").as_number().to_int64());
    step.maxDisrupted = record.at("miss").as_integer();
    return step;
}

value encodeQueue(const QueueConfig &queue)
{
    value record = value::object();
    record["name"] = value(queue.name);
    record["service"] = value(queue.pool.name());
    record["priority"] = value(queue.priority);
    record["attempts"] = value(queue.maxAttempts);
    record["stretch"] = value(queue.stretch);
    record["allowance"] = value(static_cast<std::int64_t>(queue.allowance.count()));
    if (queue.advice) {
        value advice = value::array(
            {value(static_cast<std::int64_t>(queue.advice->decisionTime.count())),
             value(static_cast<std::int64_t>(queue.advice->timePerWorker.count())),
             value(static_cast<std::int64_t>(queue.advice->ticketLifetime.count()))});
        record["advice"] = advice;
    }
    return record;
}

QueueConfig decodeQueue(const value &record)
{
    QueueConfig queue{.name = record.at("name").as_string(),
                      .pool = PoolId(record.at("service").as_string())};
    queue.priority = record.at("priority").as_integer();
    queue.maxAttempts = record.at("attempts").as_integer();
    queue.stretch = record.at("stretch").as_double();
    queue.allowance = Millis(record.at("allowance").as_number().to_int64());
    if (record.has_field("advice")) {
        const auto &advice = record.at("advice").as_array();
        queue.advice = AdviceConfig{Millis(advice.at(0).as_number().to_int64()),
                                    Millis(advice.at(1).as_number().to_int64()),
                                    Millis(advice.at(2).as_number().to_int64())};
    }
    return queue;
}

} // namespace

std::string encodeJob(const JobSpec &job)
{
    value record = value::object();
    record["queue"] = encodeQueue(job.queue);
    record["config"] = value(job.config.value);
    record["payload"] = value(job.payload);
    if (!job.team.empty())
        record["team"] = value(job.team.name());
    value steps = value::array();
    for (std::size_t index = 0; index < job.steps.size(); ++index)
        steps[index] = encodeStep(job.steps[index]);
    record["steps"] = steps;
    record["occurrences"] = value(job.occurrences);
    record["firstDue"] = value(job.firstDueMs);
    record["interval"] = value(job.intervalMs);
    record["accepted"] = value(job.acceptedMs);
    record["released"] = value(job.isReleased);
    return record.serialize();
}

std::optional<JobSpec> decodeJob(JobId id, const std::string &text)
{
    try {
        const value record = value::parse(text);
        JobSpec job{.id = id, .queue = decodeQueue(record.at("queue"))};
        job.config = {record.at("config").as_number().to_uint64()};
        job.payload = record.at("payload").as_string();
        if (record.has_field("team"))
            job.team = TeamId(record.at("team").as_string());
        for (const value &step : record.at("steps").as_array())
            job.steps.push_back(decodeStep(step));
        job.occurrences = record.at("occurrences").as_integer();
        job.firstDueMs = record.at("firstDue").as_number().to_int64();
        job.intervalMs = record.at("interval").as_number().to_int64();
        job.acceptedMs = record.at("accepted").as_number().to_int64();
        job.isReleased = record.at("released").as_bool();
        return job;
    } catch (const std::exception &) {
        return std::nullopt; // callers log the error with the job's id
    }
}

} // namespace oleanderhall
