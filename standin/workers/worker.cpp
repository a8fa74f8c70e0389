#include "worker.h"

#include <algorithm>

namespace standin {

using web::json::value;

namespace {

bool listsService(const web::json::array &tasks, const std::string &service)
{
    return std::any_of(tasks.begin(), tasks.end(), [&service](const value &task) {
        return task.at("service").as_string() == service;
    });
}

value taskState(const std::string &service, const char *state)
{
    value task = value::object();
    task["service"] = value::string(service);
    task["state"] = value::string(state);
    return task;
}

InstanceFault instanceFaultNamed(const std::string &mode)
{
    static const std::map<std::string, InstanceFault> faults{
        {"silent", InstanceFault::Silent},
        {"slow", InstanceFault::Slow},
        {"cut", InstanceFault::TruncateResponse},
        {"closeUnread", InstanceFault::CloseUnprocessed},
        {"errorFast", InstanceFault::ImmediateError}};
    const auto found = faults.find(mode);
    return found == faults.end() ? InstanceFault::None : found->second;
}

} // namespace

Worker::Worker(std::string name, boost::asio::io_context &io, ExecutionLog &log,
               std::chrono::milliseconds rebootTime)
    : m_name(std::move(name))
    , m_io(io)
    , m_log(log)
    , m_rebootTime(rebootTime)
{}

bool Worker::setTasks(const value &json)
{
    const std::lock_guard lock(m_mutex);
    if (!acceptEpoch(json.at("epoch").as_number().to_uint64()))
        return false;
    stopTasksExcept(json.at("tasks").as_array());
    for (const value &task : json.at("tasks").as_array()) {
        if (!m_failsStarts && !m_instances.contains(task.at("service").as_string()))
            startTask(task);
    }
    return true;
}

bool Worker::reboot(const value &json)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t epoch = json.at("epoch").as_number().to_uint64();
    if (!acceptEpoch(epoch))
        return false;
    if (m_rebootEpoch == epoch)
        return true;
    killInstances();
    m_rebootEpoch = epoch;
    m_rebootEnd = Clock::now() + m_rebootTime;
    return true;
}

value Worker::state()
{
    const std::lock_guard lock(m_mutex);
    removeStopped();
    value result = value::object();
    result["epoch"] = value::number(m_epoch);
    result["bootEpoch"] = value::number(m_rebootEpoch);
    value tasks = value::array();
    std::size_t count = 0;
    for (const auto &[service, instance] : m_instances)
        tasks[count++] = taskState(service, "running");
    for (const auto &[service, instance] : m_stopping)
        tasks[count++] = taskState(service, "stopping");
    result["tasks"] = tasks;
    return result;
}

bool Worker::isUp()
{
    const std::lock_guard lock(m_mutex);
    const bool isBooted = m_rebootEpoch == 0 || (!m_neverReturns && Clock::now() >= m_rebootEnd);
    return !m_isDead && isBooted;
}

void Worker::setFault(const std::string &mode)
{
    const std::lock_guard lock(m_mutex);
    if (mode == "dead" || mode == "restart")
        killInstances();
    if (mode == "restart")
        m_epoch = 0;
    m_isDead = mode == "dead";
    m_failsStarts = mode == "failStart";
    m_neverReturns = mode == "noReturn";
    m_instanceFault = instanceFaultNamed(mode);
    for (const auto &[service, instance] : m_instances)
        instance->setFault(m_instanceFault);
}

void Worker::startTask(const value &task)
{
    const std::string service = task.at("service").as_string();
    InstanceSettings settings{.host = m_name,
                              .service = service,
                              .address = task.at("address").as_string(),
                              .port = static_cast<std::uint16_t>(task.at("port").as_integer()),
                              .slots = task.at("slots").as_integer(),
                              .connections = task.at("connections").as_integer()};
    const auto instance = std::make_shared<Instance>(m_io, settings, m_log);
    try {
        instance->start();
    } catch (const std::exception &) {
        return; // A stopping instance still uses the port; the next command tries again.
    }
    instance->setFault(m_instanceFault);
    m_instances.emplace(service, instance);
}

void Worker::stopTasksExcept(const web::json::array &tasks)
{
    for (auto item = m_instances.begin(); item != m_instances.end();) {
        if (listsService(tasks, item->first)) {
            ++item;
            continue;
        }
        item->second->stopGracefully();
        m_stopping.insert_or_assign(item->first, item->second);
        item = m_instances.erase(item);
    }
}

void Worker::killInstances()
{
    for (auto *instances : {&m_instances, &m_stopping}) {
        for (const auto &[service, instance] : *instances)
            instance->kill();
        instances->clear();
    }
}

void Worker::removeStopped()
{
    std::erase_if(m_stopping, [](const auto &item) { return item.second->isIdle(); });
}

bool Worker::acceptEpoch(std::uint64_t epoch)
{
    if (epoch < m_epoch)
        return false;
    m_epoch = epoch;
    return true;
}

} // namespace standin
