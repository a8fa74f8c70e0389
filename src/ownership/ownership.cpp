#include "oleanderhall/ownership/ownership.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kAlike = 0.9; ///< A share over this part of another's counts as the same.

} // namespace

Ownership::Ownership(std::string self, OwnershipSettings settings, Instant now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_lastChange(now)
    , m_lastContact(now)
    , m_lastRenewal(now - settings.leaseExtensionTime)
    , m_nextAttempt(now)
{}

void Ownership::recordsRead(const TermRecord &term, std::uint64_t heartbeatVersion, Instant now)
{
    if (term.version < m_term.version)
        return; // an answer that was overtaken
    const bool isSameTerm = term.version == m_term.version;
    // After an outage of the table for all, its owner comes back with the others and renews.
    const bool wasCutOff = now - m_lastContact > m_settings.maxContactGap;
    if (!m_wasRead || !isSameTerm || heartbeatVersion > m_heartbeatVersion || wasCutOff)
        m_lastChange = now;
    m_lastContact = now;
    m_wasRead = true;
    if (m_isOwner && !isSameTerm)
        m_isOwner = false;
    m_term = term;
    m_heartbeatVersion = isSameTerm ? std::max(m_heartbeatVersion, heartbeatVersion)
                                    : heartbeatVersion;
}

/// Returns how much longer this process waits than a strong one.
Millis Ownership::takeOverDelay() const
{
    // Before the first term nobody knows what the others have.
    const double wanted = m_term.version == 0 ? kSufficientShare : m_term.processorShare;
    if (m_settings.processorShare < wanted * kAlike)
        return m_settings.belowOwnerDelay;
    return m_settings.processorShare < kSufficientShare ? m_settings.lowShareDelay : Millis(0);
}

Ownership::Step Ownership::nextStep(Instant now)
{
    if (m_isCallInFlight || now < m_nextAttempt || !m_wasRead)
        return Step::None;
    if (m_isOwner) {
        if (now < m_lastRenewal + m_settings.renewInterval)
            return Step::None;
        m_isCallInFlight = true;
        return Step::Renew;
    }
    // A call that is sent during an outage may be carried out when the table is back.
    if (!m_isEligible || now - m_lastContact > m_settings.maxContactGap)
        return Step::None;
    const bool isVacant = m_term.owner.empty() || m_term.owner == m_self;
    const Millis silence = isVacant ? Millis(0) : m_settings.lease + m_settings.jitter;
    if (now < m_lastChange + silence + takeOverDelay())
        return Step::None;
    m_isCallInFlight = true;
    m_nextGeneration = m_term.generation + 1;
    return Step::TakeOver;
}

void Ownership::takeOverAnswered(bool isDone, std::uint64_t version, Instant sent, Instant now)
{
    m_isCallInFlight = false;
    if (!isDone) {
        m_nextAttempt = now + m_settings.retryDelay;
        return;
    }
    m_isOwner = true;
    m_term = {.owner = m_self,
              .generation = m_nextGeneration, // the row itself may have been seen before
              .version = version,
              .processorShare = m_settings.processorShare};
    m_heartbeatVersion = version;
    m_lastChange = now;
    m_lastRenewal = sent;
}

void Ownership::renewAnswered(bool isDone, bool isLost, std::uint64_t version, Instant sent,
                              Instant now)
{
    m_isCallInFlight = false;
    if (isDone && m_isOwner) {
        m_lastRenewal = std::max(m_lastRenewal, sent);
        m_lastChange = now;
        m_heartbeatVersion = std::max(m_heartbeatVersion, version);
        return;
    }
    m_nextAttempt = now + m_settings.retryDelay;
    if (isLost)
        m_isOwner = false;
}

} // namespace oleanderhall
