#include "oleanderhall/routing/concurrencywindow.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kGrowthPerAnswer = 0.25; // slots
constexpr double kShrinkFactor = 0.6;
constexpr Millis kPauseAfterRefusal{1000};

double evenShare(int slots, int entryHosts)
{
    const int share = slots / std::max(entryHosts, 1);
    return std::max(share, 1);
}

} // namespace

ConcurrencyWindow::ConcurrencyWindow(int slots, int entryHosts)
    : m_slots(slots)
    , m_evenShare(evenShare(slots, entryHosts))
    , m_size(m_evenShare)
{}

void ConcurrencyWindow::setEntryHostCount(int entryHosts)
{
    m_evenShare = evenShare(m_slots, entryHosts);
    m_size = std::clamp<double>(m_size, m_evenShare, m_slots);
}

void ConcurrencyWindow::onResponse(int inFlight, Instant now)
{
    if (inFlight < size() || now < m_growAfter)
        return;
    m_size = std::min<double>(m_size + kGrowthPerAnswer / m_size, m_slots);
}

void ConcurrencyWindow::onRefusal(Instant now)
{
    m_size = std::max(m_evenShare, m_size * kShrinkFactor);
    m_growAfter = now + kPauseAfterRefusal;
}

} // namespace oleanderhall
