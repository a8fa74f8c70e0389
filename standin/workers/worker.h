#pragma once

#include "instance.h"

#include <cpprest/json.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace standin {

/// A Worker is one host: it runs instances as it is told, refuses commands of an older life, and
/// reboots.
class Worker
{
public:
    Worker(std::string name, boost::asio::io_context &io, ExecutionLog &log,
           std::chrono::milliseconds rebootTime);

    /// Runs exactly the tasks of {"epoch": n, "tasks": [...]}. Returns false when the epoch is old.
    bool setTasks(const web::json::value &json);
    /// Reboots once for {"epoch": n}. Returns false when the epoch is old.
    bool reboot(const web::json::value &json);
    web::json::value state();
    bool isUp();
    /// Sets a fault of the worker or of its instances.
    void setFault(const std::string &mode);

private:
    using Clock = std::chrono::steady_clock;

    void startTask(const web::json::value &task);
    void stopTasksExcept(const web::json::array &tasks);
    void killInstances();
    void removeStopped();
    bool acceptEpoch(std::uint64_t epoch);

    std::string m_name;
    boost::asio::io_context &m_io;
    ExecutionLog &m_log;
    std::chrono::milliseconds m_rebootTime;
    std::mutex m_mutex;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_bootEpoch = 0;
    std::uint64_t m_rebootEpoch = 0;
    Clock::time_point m_rebootEnd;
    bool m_isDead = false;
    bool m_failsStarts = false;
    bool m_neverReturns = false;
    InstanceFault m_instanceFault = InstanceFault::None;
    std::map<std::string, std::shared_ptr<Instance>> m_instances;
    std::map<std::string, std::shared_ptr<Instance>> m_stopping;
};

} // namespace standin
