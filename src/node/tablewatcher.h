#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/core/time.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: reports a snapshot of one table and then each of its changes. When the service no
/// longer has the history of changes since the last report, it reports a new snapshot.
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
    struct Source
    {
        std::string table;
        std::vector<std::string> partitions;
        Millis longPoll{1000}; ///< How long one call waits for changes.
        Millis spacing{0}; ///< Delay between two calls, so that one returns several changes.
    };
    struct Update
    {
        std::vector<platform::TableRow> rows;
        bool isSnapshot = false; ///< `rows` holds all rows of the partitions.
        std::uint64_t version = 0; ///< Of the table service when it answered.
        std::int64_t clockMs = 0; ///< The table service's steady clock.
        Instant sentAt; ///< When the answered call was sent.
    };
    using UpdateHandler = std::function<void(const Update &)>;

    TableWatcher(boost::asio::io_context &io, platform::TableClient &table, Source source,
                 UpdateHandler onUpdate);

    /// Begins with a snapshot; failed calls are repeated until stop().
    void start();
    /// After this call the handler is not called any more.
    void stop();
    /// Returns when the last answered call was sent; the epoch if there was none.
    Instant lastContact() const { return m_lastContact; }

private:
    void readPage(const std::string &from);
    void watch();
    void runAfter(Millis delay, void (TableWatcher::*next)());
    void readSnapshot();

    boost::asio::steady_timer m_timer;
    platform::TableClient &m_table;
    Source m_source;
    UpdateHandler m_onUpdate;
    bool m_isStopped = false;
    bool m_isReachable = true;
    Update m_snapshot;
    std::size_t m_partitionIndex = 0; ///< Of the partition that is being read.
    std::uint64_t m_version = 0;
    Instant m_lastContact{};
};

} // namespace oleanderhall
