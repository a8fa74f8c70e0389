#pragma once

#include "fleetview.h"
#include "jobwriter.h"

#include "../../platform/tableclient.h"
#include "../http/callerserver.h"

#include "oleanderhall/jobs/taskid.h"

#include <optional>
#include <string>

namespace oleanderhall {

class Metrics;

/// Internal: answers callers: takes jobs, tells their state, cancels them. It keeps nothing: a job
/// is accepted when its rows are written, and its state is read from them.
class CallerApi
{
public:
    CallerApi(boost::asio::io_context &io, platform::TableClient &table, const FleetView &view,
              Metrics &metrics);

    boost::asio::awaitable<Reply> answer(HttpRequest &request);

private:
    boost::asio::awaitable<Reply> route(HttpRequest &request);
    struct Target
    {
        QueueConfig queue;
        ConfigVersion config;
        std::string rest; ///< Of the path, behind the queue's prefix.
        Instant latest; ///< When the caller stops to wait.
    };

    boost::asio::awaitable<Reply> submit(Target target, JobId id, std::string body);
    boost::asio::awaitable<Reply> state(JobId id);
    boost::asio::awaitable<Reply> cancel(JobId id);
    Reply waiting(const Target &target);
    boost::asio::awaitable<platform::TransactionResult> transact(platform::Transaction transaction);
    boost::asio::awaitable<platform::ReadResult> readJob(JobId id);
    Reply refuse(int status, const char *reason, std::optional<Millis> comeBack);

    boost::asio::io_context &m_io;
    platform::TableClient &m_table;
    const FleetView &m_view;
    Metrics &m_metrics;
    std::vector<std::unique_ptr<JobWriter>> m_writers; ///< By part.
};

} // namespace oleanderhall
