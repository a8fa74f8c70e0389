#pragma once

#include "instance.h"

#include <cpprest/json.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace standin {

/// A Worker simulates the worker of one host: it runs instances as commanded, refuses commands with
/// an older epoch than the latest one, and simulates reboots. Thread-safe.
class Worker
{
public:
    Worker(std::string name, boost::asio::io_context &io, ExecutionLog &log,
           std::chrono::milliseconds rebootTime);

    /// Starts and stops instances to match the tasks of {"epoch": n, "tasks": [...]}. Returns false
    /// when the epoch is older than the latest one. An instance whose port is in use isn't started;
    /// the next command tries again.
    bool setTasks(const web::json::value &json);
    /// Starts a reboot for {"epoch": n}, which kills all instances; repeats for the same epoch have
    /// no effect. Returns false when the epoch is older than the latest one.
    bool reboot(const web::json::value &json);
    /// Returns the epoch, the epoch of the last reboot and the state of each instance.
    web::json::value state();
    /// Returns whether the worker is neither dead nor rebooting.
    bool isUp();
    /// Sets a fault of the worker (dead, restart, failStart, noReturn) or of its instances (silent,
    /// slow, cut, closeUnread, errorFast); it replaces the previous fault. "restart" also resets
    /// the epoch. Any other mode ends the fault.
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
