#include "oleanderhall/ownership/ownership.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// Processor shares count as equal when their ratio is at least this.
constexpr double kEqualCoresRatio = 0.9;

} // namespace

Ownership::Ownership(std::string self, OwnershipSettings settings, Instant now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_lastChange(now)
    , m_lastContact(now)
    , m_lastRenewal(now - settings.leaseExtensionTime)
    , m_nextAttempt(now)
{}

void Ownership::onRecordsRead(const TermRecord &term, std::uint64_t heartbeatVersion, Instant now)
{
    if (term.version < m_term.version)
        return; // an answer that arrived out of order
    const bool isSameTerm = term.version == m_term.version;
    // After an outage of the table, the owner regains contact, too, and gets time to renew.
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

/// Returns the extra wait of this process before a take-over, by its processor share.
Millis Ownership::takeOverDelay() const
{
    // Before the first term there is no last owner to compare with.
    const double requiredCores = m_term.version == 0 ? kSufficientCores : m_term.processorCores;
    if (m_settings.processorCores < requiredCores * kEqualCoresRatio)
        return m_settings.belowOwnerDelay;
    return m_settings.processorCores < kSufficientCores ? m_settings.fewCoresDelay : Millis(0);
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
    // No take-over is sent during an outage of the table, as it may still be carried out later.
    if (!m_isEligible || now - m_lastContact > m_settings.maxContactGap)
        return Step::None;
    const bool isVacant = m_term.owner.empty() || m_term.owner == m_self;
    const Millis leaseWait = isVacant ? Millis(0) : m_settings.lease + m_settings.jitter;
    if (now < m_lastChange + leaseWait + takeOverDelay())
        return Step::None;
    m_isCallInFlight = true;
    m_nextGeneration = m_term.generation + 1;
    return Step::TakeOver;
}

void Ownership::onTakeOverResult(bool isDone, std::uint64_t version, Instant sent, Instant now)
{
    m_isCallInFlight = false;
    if (!isDone) {
        m_nextAttempt = now + m_settings.retryDelay;
        return;
    }
    m_isOwner = true;
    m_term = {.owner = m_self,
              .generation = m_nextGeneration, // m_term may already contain this take-over
              .version = version,
              .processorCores = m_settings.processorCores};
    m_heartbeatVersion = version;
    m_lastChange = now;
    m_lastRenewal = sent;
}

void Ownership::onRenewResult(bool isDone, bool isLost, std::uint64_t version, Instant sent,
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
