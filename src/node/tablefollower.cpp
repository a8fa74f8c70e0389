#include "tablefollower.h"

#include "../daemon/log.h"

namespace oleanderhall {

namespace {

constexpr Millis kRetry{200}; // after a call that was not answered or turned away
constexpr Millis kReadTime{1500}; // a slow service answers after several hundred milliseconds

} // namespace

TableFollower::TableFollower(boost::asio::io_context &io, platform::TableClient &table,
                             Source source, Sink sink)
    : m_timer(io)
    , m_table(table)
    , m_source(std::move(source))
    , m_sink(std::move(sink))
{}

void TableFollower::start()
{
    readWhole();
}

void TableFollower::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void TableFollower::again(Millis delay, void (TableFollower::*next)())
{
    if (delay.count() == 0) {
        (this->*next)();
        return;
    }
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), next](const boost::system::error_code &failed) {
        if (!failed && !self->m_isStopped)
            (self.get()->*next)();
    });
}

void TableFollower::readWhole()
{
    m_whole = {.rows = {}, .isWhole = true};
    m_part = 0;
    readPage({});
}

void TableFollower::readPage(const std::string &from)
{
    m_table.read(m_source.table, m_source.parts[m_part], from, {}, kReadTime,
                 [self = shared_from_this()](platform::ReadResult result) {
                     if (self->m_isStopped)
                         return;
                     if (!result.isSuccess) {
                         self->again(kRetry, &TableFollower::readWhole);
                         return;
                     }
                     Update &whole = self->m_whole;
                     if (whole.version == 0) {
                         whole.version = result.version;
                         whole.clockMs = result.clockMs;
                         whole.sent = result.sentAt;
                     }
                     std::move(result.rows.begin(), result.rows.end(),
                               std::back_inserter(whole.rows));
                     if (result.hasMore && !whole.rows.empty()) {
                         self->readPage(whole.rows.back().key + " "); // the next key in byte order
                         return;
                     }
                     if (++self->m_part < self->m_source.parts.size()) {
                         self->readPage({});
                         return;
                     }
                     self->m_version = whole.version;
                     self->m_lastAnswered = whole.sent;
                     const Update update = std::move(whole);
                     self->m_sink(update);
                     self->follow();
                 });
}

void TableFollower::follow()
{
    m_table.watch(m_source.table, m_version, m_source.wait,
                  [self = shared_from_this()](platform::ReadResult result) {
                      if (self->m_isStopped)
                          return;
                      if (result.isHistoryGone) {
                          logWarning("table_history_gone",
                                     {{"table", self->m_source.table},
                                      {"version", std::to_string(self->m_version)}});
                          self->readWhole();
                          return;
                      }
                      if (!result.isSuccess) {
                          if (self->m_isReachable)
                              logWarning("table_unreachable", {{"table", self->m_source.table}});
                          self->m_isReachable = false;
                          self->again(kRetry, &TableFollower::follow);
                          return;
                      }
                      if (!self->m_isReachable)
                          logInfo("table_reachable_again", {{"table", self->m_source.table}});
                      self->m_isReachable = true;
                      self->m_version = std::max(self->m_version, result.version);
                      self->m_lastAnswered = result.sentAt;
                      self->m_sink({.rows = std::move(result.rows),
                                    .version = self->m_version,
                                    .clockMs = result.clockMs,
                                    .sent = result.sentAt});
                      if (!self->m_isStopped)
                          self->again(self->m_source.spacing, &TableFollower::follow);
                  });
}

} // namespace oleanderhall
