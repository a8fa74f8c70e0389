#include "oleanderhall/jobs/tablesilence.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr int kDoubtfulDurations = 4; // a queue in the table varies the duration by less than this
// A normal answer takes a few milliseconds; a busy small host reads it later.
constexpr Millis kMinDoubtTime{150};
constexpr Millis kMaxDoubtTime{700};
// A slow table answers reads within 250 ms, and a probe is sent as soon as there is doubt.
constexpr Millis kMinSilenceTime{1000};
// A partition refuses transactions once those in its queue take more than 1 s.
constexpr Millis kMaxSilenceTime{1500};

// Between two observations; a small host may be a few times later than every 50 ms.
constexpr Millis kMaxObservationGap{250};

} // namespace

void TableSilence::onSent(Instant now)
{
    if (!hasUnansweredCalls())
        m_observed = now; // nothing was observed before
    m_open.insert(now);
}

void TableSilence::observe(Instant now)
{
    if (now - m_observed > kMaxObservationGap)
        m_lastPause = now;
    m_observed = now;
}

void TableSilence::close(Instant sentAt)
{
    const auto call = m_open.find(sentAt);
    if (call != m_open.end())
        m_open.erase(call);
}

void TableSilence::onAnswered(Instant sentAt, Instant now)
{
    close(sentAt);
    m_unansweredSince = Instant();
    m_lastAnswer = std::max(m_lastAnswer, now);
    m_usualDuration = std::max(std::chrono::duration_cast<Millis>(now - sentAt),
                               m_usualDuration / 2);
}

void TableSilence::onUnanswered(Instant sentAt)
{
    close(sentAt);
    if (m_lastAnswer < sentAt)
        m_unansweredSince = m_unansweredSince == Instant() ? sentAt
                                                           : std::min(m_unansweredSince, sentAt);
}

TableSilence::Stage TableSilence::stage(Instant now) const
{
    if (!hasUnansweredCalls())
        return Stage::Answering;
    Instant oldest = m_unansweredSince == Instant() ? now : m_unansweredSince;
    if (!m_open.empty())
        oldest = std::min(oldest, *m_open.begin());
    const Instant::duration quiet = now - std::max({oldest, m_lastAnswer, m_lastPause});
    const Millis expected = kDoubtfulDurations * m_usualDuration;
    if (quiet >= std::clamp(expected, kMinSilenceTime, kMaxSilenceTime))
        return Stage::Silent;
    return quiet >= std::clamp(expected, kMinDoubtTime, kMaxDoubtTime) ? Stage::Doubtful
                                                                       : Stage::Answering;
}

} // namespace oleanderhall
