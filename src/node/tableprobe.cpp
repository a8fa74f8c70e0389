#include "tableprobe.h"

#include "storednames.h"

#include "../daemon/log.h"

#include "oleanderhall/core/clock.h"

namespace oleanderhall {

namespace {

constexpr Millis kCheckInterval{50};
constexpr Millis kProbeInterval{250};
constexpr Millis kProbeTimeout{700}; // a slow table answers a read within 250 ms
constexpr const char *kProbedKey = "probe"; // no row has this key

} // namespace

TableProbe::TableProbe(boost::asio::io_context &io, platform::TableClient &table)
    : m_table(table)
    , m_timer(io)
{}

void TableProbe::onSent(Instant now)
{
    m_silence.onSent(now);
    scheduleCheck();
}

void TableProbe::scheduleCheck()
{
    if (m_isCheckScheduled || !m_silence.hasUnansweredCalls())
        return;
    m_isCheckScheduled = true;
    m_timer.expires_after(kCheckInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        m_isCheckScheduled = false;
        check();
        scheduleCheck();
    });
}

void TableProbe::check()
{
    const Instant now = monotonicNow();
    const TableSilence::Stage current = stage(now);
    const bool isSilent = current == TableSilence::Stage::Silent;
    if (isSilent && m_loggedStage != TableSilence::Stage::Silent)
        logWarning("table_silent");
    m_loggedStage = isSilent ? current : m_loggedStage;
    if (current != TableSilence::Stage::Answering && now >= m_nextProbe)
        sendProbe(now);
}

void TableProbe::sendProbe(Instant sentAt)
{
    m_nextProbe = sentAt + kProbeInterval;
    m_silence.onSent(sentAt);
    m_table.read(kProgressTable, jobPartitionName(0), kProbedKey, std::string(kProbedKey) + " ",
                 kProbeTimeout, [this, sentAt](const platform::ReadResult &result) {
                     if (!result.isSuccess) {
                         m_silence.onUnanswered(sentAt);
                         return;
                     }
                     m_silence.onAnswered(sentAt, monotonicNow());
                     if (m_loggedStage == TableSilence::Stage::Silent)
                         logInfo("table_answers_again");
                     m_loggedStage = TableSilence::Stage::Answering;
                 });
}

} // namespace oleanderhall
