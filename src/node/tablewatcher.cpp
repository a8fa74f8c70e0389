#include "tablewatcher.h"

#include "../daemon/log.h"

namespace oleanderhall {

namespace {

constexpr Millis kRetryDelay{200}; // after a call that was refused or not answered
constexpr Millis kReadTimeout{1500}; // a slow service takes several hundred milliseconds

} // namespace

TableWatcher::TableWatcher(boost::asio::io_context &io, platform::TableClient &table, Source source,
                           UpdateHandler onUpdate)
    : m_timer(io)
    , m_table(table)
    , m_source(std::move(source))
    , m_onUpdate(std::move(onUpdate))
{}

void TableWatcher::start()
{
    readSnapshot();
}

void TableWatcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void TableWatcher::runAfter(Millis delay, void (TableWatcher::*next)())
{
    if (delay.count() == 0) {
        (this->*next)();
        return;
    }
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), next](const boost::system::error_code &error) {
        if (!error && !self->m_isStopped)
            (self.get()->*next)();
    });
}

void TableWatcher::readSnapshot()
{
    m_snapshot = {.rows = {}, .isSnapshot = true};
    m_partitionIndex = 0;
    readPage({});
}

void TableWatcher::readPage(const std::string &from)
{
    m_table.read(m_source.table, m_source.partitions[m_partitionIndex], from, {}, kReadTimeout,
                 [self = shared_from_this()](platform::ReadResult result) {
                     if (self->m_isStopped)
                         return;
                     if (!result.isSuccess) {
                         self->runAfter(kRetryDelay, &TableWatcher::readSnapshot);
                         return;
                     }
                     Update &snapshot = self->m_snapshot;
                     if (snapshot.version == 0) {
                         snapshot.version = result.version;
                         snapshot.clockMs = result.clockMs;
                         snapshot.sentAt = result.sentAt;
                     }
                     std::move(result.rows.begin(), result.rows.end(),
                               std::back_inserter(snapshot.rows));
                     if (result.hasMore && !snapshot.rows.empty()) {
                         // The next key in byte order among keys without control characters.
                         self->readPage(snapshot.rows.back().key + " ");
                         return;
                     }
                     if (++self->m_partitionIndex < self->m_source.partitions.size()) {
                         self->readPage({});
                         return;
                     }
                     self->m_version = snapshot.version;
                     self->m_lastContact = snapshot.sentAt;
                     const Update update = std::move(snapshot);
                     self->m_onUpdate(update);
                     self->watch();
                 });
}

void TableWatcher::watch()
{
    m_table.watch(m_source.table, m_version, m_source.longPoll,
                  [self = shared_from_this()](platform::ReadResult result) {
                      if (self->m_isStopped)
                          return;
                      if (result.isHistoryGone) {
                          logWarning("table_history_gone",
                                     {{"table", self->m_source.table},
                                      {"version", std::to_string(self->m_version)}});
                          self->readSnapshot();
                          return;
                      }
                      if (!result.isSuccess) {
                          if (self->m_isReachable)
                              logWarning("table_unreachable", {{"table", self->m_source.table}});
                          self->m_isReachable = false;
                          self->runAfter(kRetryDelay, &TableWatcher::watch);
                          return;
                      }
                      if (!self->m_isReachable)
                          logInfo("table_reachable_again", {{"table", self->m_source.table}});
                      self->m_isReachable = true;
                      self->m_version = std::max(self->m_version, result.version);
                      self->m_lastContact = result.sentAt;
                      self->m_onUpdate({.rows = std::move(result.rows),
                                        .version = self->m_version,
                                        .clockMs = result.clockMs,
                                        .sentAt = result.sentAt});
                      if (!self->m_isStopped)
                          self->runAfter(self->m_source.spacing, &TableWatcher::watch);
                  });
}

} // namespace oleanderhall
