#include "oleanderhall/routing/slotwindow.h"

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

SlotWindow::SlotWindow(int slots, int entryHosts)
    : m_slots(slots)
    , m_share(evenShare(slots, entryHosts))
    , m_size(m_share)
{}

void SlotWindow::setEntryHosts(int entryHosts)
{
    m_share = evenShare(m_slots, entryHosts);
    m_size = std::clamp<double>(m_size, m_share, m_slots);
}

void SlotWindow::answered(int inFlight, Instant now)
{
    if (inFlight < size() || now < m_growAfter)
        return;
    m_size = std::min<double>(m_size + kGrowthPerAnswer / m_size, m_slots);
}

void SlotWindow::refused(Instant now)
{
    m_size = std::max(m_share, m_size * kShrinkFactor);
    m_growAfter = now + kPauseAfterRefusal;
}

} // namespace oleanderhall
