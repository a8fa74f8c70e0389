#include "oleanderhall/routing/concurrencywindow.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kGrowthPerWindow = 0.25; // slots per full window of responses
constexpr double kShrinkFactor = 0.6;
constexpr Millis kGrowthPauseAfterRefusal{1000};

double evenShare(int slots, int entryHostCount)
{
    const int share = slots / std::max(entryHostCount, 1);
    return std::max(share, 1);
}

} // namespace

ConcurrencyWindow::ConcurrencyWindow(int slots, int entryHostCount)
    : m_slots(slots)
    , m_evenShare(evenShare(slots, entryHostCount))
    , m_size(m_evenShare)
{}

void ConcurrencyWindow::setEntryHostCount(int entryHostCount)
{
    m_evenShare = evenShare(m_slots, entryHostCount);
    m_size = std::clamp<double>(m_size, m_evenShare, m_slots);
}

void ConcurrencyWindow::onResponse(int inFlight, Instant now)
{
    if (inFlight < size() || now < m_growAfter)
        return;
    m_size = std::min<double>(m_size + kGrowthPerWindow / m_size, m_slots);
}

void ConcurrencyWindow::onRefusal(Instant now)
{
    m_size = std::max(m_evenShare, m_size * kShrinkFactor);
    m_growAfter = now + kGrowthPauseAfterRefusal;
}

} // namespace oleanderhall
