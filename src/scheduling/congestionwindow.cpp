#include "oleanderhall/scheduling/congestionwindow.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// The window halves when more than one in kCongestionDivisor commands times out. The loss of one
/// of four availability zones makes a quarter of them time out, so only more than that means
/// congestion.
constexpr std::size_t kCongestionDivisor = 4;

} // namespace

void CongestionWindow::onCompleted(bool wasAnswered)
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (m_sentBeforeHalving > 0) {
        --m_sentBeforeHalving; // sent under the larger window, so it says nothing about this one
        return;
    }
    ++m_completed;
    if (!wasAnswered) {
        ++m_timedOut;
    } else if (++m_answered >= (m_hasHalved ? m_size : 1)) {
        m_answered = 0;
        m_size = std::min(m_size + 1, kMaxSize);
    }
    if (m_completed < kSampleSize)
        return;
    if (m_timedOut * kCongestionDivisor > m_completed) {
        m_size = std::max(m_size / 2, kMinSize);
        m_hasHalved = true;
        m_sentBeforeHalving = m_inFlight;
    }
    m_completed = 0;
    m_timedOut = 0;
}

} // namespace oleanderhall
