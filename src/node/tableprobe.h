#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/tablesilence.h"

#include <boost/asio/steady_timer.hpp>

namespace oleanderhall {

/// Internal: follows whether the table answers this node's calls, and sends probes while that is in
/// doubt. A probe is a read, so that it can't end with an unknown outcome.
class TableProbe
{
public:
    TableProbe(boost::asio::io_context &io, platform::TableClient &table);

    /// Must be called for each transaction that stores jobs.
    void onSent(Instant now);
    void onAnswered(Instant sentAt, Instant now) { m_silence.onAnswered(sentAt, now); }
    void onUnanswered(Instant sentAt) { m_silence.onUnanswered(sentAt); }

    TableSilence::Stage stage(Instant now)
    {
        m_silence.observe(now);
        return m_silence.stage(now);
    }

private:
    void scheduleCheck();
    void check();
    void sendProbe(Instant sentAt);

    platform::TableClient &m_table;
    boost::asio::steady_timer m_timer;
    TableSilence m_silence;
    TableSilence::Stage m_loggedStage = TableSilence::Stage::Answering;
    bool m_isCheckScheduled = false;
    Instant m_nextProbe{};
};

} // namespace oleanderhall
