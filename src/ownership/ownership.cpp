#include "oleanderhall/ownership/ownership.h"

#include <algorithm>

namespace oleanderhall {

Ownership::Ownership(std::string self, OwnershipSettings settings, Instant now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_lastChange(now)
    , m_lastContact(now)
    , m_lastRenewal(now - settings.leaseExtensionTime)
    , m_nextAttempt(now)
    , m_termStart(now)
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

Candidate Ownership::candidate(Instant now) const
{
    Candidate self{.processorCores = m_settings.processorCores, .loopLag = m_loopLag};
    if (now < m_behindUntil)
        self.loopLag = std::max(self.loopLag, kMaxLoopLag + Millis(1));
    return self;
}

/// Returns whether a known candidate, or the last owner, is more capable than this process.
bool Ownership::isOutrankedAsCandidate(Instant now) const
{
    const double last = m_term.owner == m_self
        ? 0
        : Candidate{.processorCores = m_term.processorCores}.capability();
    return isOutranked(candidate(now).capability(),
                       std::max(last, m_candidates.highestCapability(m_self, now)));
}

/// Returns when this process may take over if nothing changes until then.
Instant Ownership::takeOverTime(Instant now) const
{
    const bool isVacant = m_term.owner.empty() || m_term.owner == m_self;
    const Instant vacantAt = m_lastChange
        + (isVacant ? Millis(0) : m_settings.lease + m_settings.jitter);
    const double capability = candidate(now).capability();
    if (!isOutrankedAsCandidate(now)) {
        if (m_settings.processorCores >= kSufficientCores)
            return vacantAt;
        return vacantAt
            + (m_term.version == 0 ? m_settings.firstTermDelay : m_settings.fewCoresDelay);
    }
    Instant time = vacantAt + m_settings.outrankedDelay;
    // A candidate that was cut off announces itself when it hears from the table again, and then
    // waits for the owner's lease.
    const auto announced = m_candidates.lastAnnouncementAbove(capability);
    if (announced && *announced >= m_lastChange)
        time = std::max(time,
                        *announced + m_settings.lease + m_settings.maxJitter
                            + m_settings.announcedTakeOverTime);
    return std::min(time, m_lastChange + m_settings.maxOutrankedWait);
}

bool Ownership::isAnnouncementDue(Instant now) const
{
    if (!m_wasRead || !m_isEligible || now - m_lastContact > m_settings.maxContactGap)
        return false;
    const Candidate self = candidate(now);
    bool isUrgent = false;
    if (!m_isOwner) {
        const double owner = std::min(
            Candidate{.processorCores = m_term.processorCores}.capability(),
            m_candidates.capabilityOf(m_term.owner, now).value_or(kSufficientCores));
        isUrgent = m_term.owner.empty() || isOutranked(owner, self.capability())
            || now - m_lastChange > m_settings.lease / 2;
    }
    return m_candidacyTimer.isDue(self, isUrgent, now);
}

bool Ownership::isHandOverDue(Instant now) const
{
    const Candidate self = candidate(now);
    const Millis minTerm = self.isBehind() ? m_settings.minTermIfBehind
                                           : m_settings.minTermIfOutranked;
    const auto announced = m_candidates.lastAnnouncementAbove(self.capability());
    // The record of a hand-over can't be written without the lease.
    return maySendCommands(now) && now - m_termStart >= minTerm && announced
        && now - *announced <= m_settings.maxAnnouncementAge;
}

void Ownership::relinquish(Instant now)
{
    if (candidate(now).isBehind())
        m_behindUntil = now + m_settings.behindDuration;
    m_isOwner = false;
    m_isCallInFlight = false;
    m_lastChange = now;
    m_nextAttempt = now + m_settings.retryDelay;
}

Ownership::Step Ownership::nextStep(Instant now)
{
    if (m_isCallInFlight || now < m_nextAttempt || !m_wasRead)
        return Step::None;
    if (m_isOwner) {
        if (isHandOverDue(now))
            return Step::HandOver;
        if (now < m_lastRenewal + m_settings.renewInterval)
            return Step::None;
        m_isCallInFlight = true;
        return Step::Renew;
    }
    // No take-over is sent during an outage of the table, as it may still be carried out later.
    if (!m_isEligible || now - m_lastContact > m_settings.maxContactGap)
        return Step::None;
    if (now < takeOverTime(now))
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
    m_termStart = now;
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
