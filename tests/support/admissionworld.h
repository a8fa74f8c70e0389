#pragma once

#include "oleanderhall/teams/admissionpolicy.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace oleanderhall::test {

/// Simulates entry hosts with an AdmissionPolicy each, the owner's reports, one pool, and callers
/// that retry when they are told to. The pool runs the jobs that teams are owed, by weight, before
/// those that exceed a team's rate.
class AdmissionWorld
{
public:
    struct Team
    {
        TeamId id;
        double weight = 0;
        double callsPerSecond = 0; ///< New calls, without retries.
        double due = 0;
        int calls = 0;
        int retries = 0;
        int refusals = 0;
        int givenUp = 0; ///< Calls that were refused at every attempt.
        std::vector<Millis> waits; ///< Of started jobs, from acceptance.
        std::deque<Instant> owed; ///< When the waiting jobs that it is owed were accepted.
        double served = 0; ///< Started jobs by weight; the least is served next.
    };

    AdmissionWorld(int hosts, double jobsPerSecond)
        : m_jobsPerSecond(jobsPerSecond)
    {
        for (int host = 0; host < hosts; ++host)
            m_hosts.emplace_back(kWindow, static_cast<double>(host) / hosts);
    }

    std::vector<Team> teams;
    Instant now{std::chrono::hours(1)};
    std::map<int, int> returnsPer250Ms; ///< Retries that arrived, by time.
    int idleStarts = 0; ///< Starts that the pool could have made if it had had jobs.

    void run(Millis time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += kStep;
            for (std::size_t team = 0; team < teams.size(); ++team) {
                for (teams[team].due += teams[team].callsPerSecond * 0.01; teams[team].due >= 1;
                     --teams[team].due) {
                    ++teams[team].calls;
                    call(team, kAttempts);
                }
            }
            while (!m_retries.empty() && m_retries.begin()->first <= now) {
                const auto [team, attempts] = m_retries.begin()->second;
                m_retries.erase(m_retries.begin());
                ++teams[team].retries;
                ++returnsPer250Ms[static_cast<int>(now.time_since_epoch() / Millis(250))];
                call(team, attempts);
            }
            startJobs();
            if (now.time_since_epoch() % kReportInterval == Millis(0))
                publish();
        }
    }

    /// Returns the share of the started jobs of `team` that waited at most `limit`.
    static double shareWithin(const Team &team, Millis limit)
    {
        const auto within = std::count_if(team.waits.begin(), team.waits.end(),
                                          [&](Millis wait) { return wait <= limit; });
        return team.waits.empty()
            ? 1
            : static_cast<double>(within) / static_cast<double>(team.waits.size());
    }

private:
    struct Job
    {
        std::size_t team = 0;
        Instant accepted;
    };
    struct Report
    {
        std::map<TeamId, double> rates;
        bool isRoomShort = false;
    };

    static constexpr Millis kWindow{5000};
    static constexpr Millis kStep{10};
    static constexpr Millis kReportInterval{500};
    static constexpr Millis kShortWait{500};
    static constexpr double kPublishedAbove = 0.8; // of the weight
    static constexpr int kAttempts = 5;

    void call(std::size_t index, int attempts)
    {
        Team &team = teams[index];
        AdmissionPolicy &host = m_hosts[m_random() % m_hosts.size()];
        const auto rate = m_report.rates.find(team.id);
        const AdmissionPolicy::Verdict verdict = host.decide(
            team.id,
            {.weight = team.weight,
             .acceptedRate = rate == m_report.rates.end() ? 0 : rate->second,
             .isRoomShort = m_report.isRoomShort,
             .isKnown = true},
            now);
        if (verdict.isAccepted) {
            m_accepted.add(team.id, now);
            if (m_accepted.rate(team.id, now) > team.weight) {
                m_excess.push_back({index, now});
                return;
            }
            team.served = team.owed.empty() ? std::max(team.served, m_served) : team.served;
            team.owed.push_back(now);
            return;
        }
        ++team.refusals;
        if (attempts == 1) {
            ++team.givenUp;
            return;
        }
        const auto seconds = (verdict.retryAfter + Millis(999)) / Millis(1000);
        m_retries.emplace(now + seconds * Millis(1000), std::pair(index, attempts - 1));
    }

    void startJobs()
    {
        for (m_room += m_jobsPerSecond * 0.01; m_room >= 1; --m_room) {
            Team *next = nullptr;
            for (Team &team : teams) {
                if (!team.owed.empty() && (!next || team.served < next->served))
                    next = &team;
            }
            if (next) {
                start(*next, next->owed.front());
                next->owed.pop_front();
                m_served = next->served;
                next->served += 1 / next->weight;
            } else if (!m_excess.empty()) {
                start(teams[m_excess.front().team], m_excess.front().accepted);
                m_excess.pop_front();
            } else {
                ++idleStarts;
            }
        }
    }

    void start(Team &team, Instant accepted)
    {
        team.waits.push_back(std::chrono::duration_cast<Millis>(now - accepted));
    }

    /// Delivers the previous report, as reports reach entry hosts late, and writes the next one.
    void publish()
    {
        m_report = std::exchange(m_nextReport, {});
        for (const Team &team : teams) {
            const double rate = m_accepted.rate(team.id, now);
            if (rate > kPublishedAbove * team.weight)
                m_nextReport.rates[team.id] = rate;
        }
        std::size_t waiting = m_excess.size();
        for (const Team &team : teams)
            waiting += team.owed.size();
        const double wait = static_cast<double>(waiting) / m_jobsPerSecond;
        m_nextReport.isRoomShort = wait > std::chrono::duration<double>(kShortWait).count();
    }

    std::mt19937 m_random{1};
    double m_jobsPerSecond;
    double m_room = 0;
    std::vector<AdmissionPolicy> m_hosts;
    TeamRates m_accepted{kWindow};
    std::deque<Job> m_excess;
    double m_served = 0; ///< As Team::served, of the last start.
    Report m_report;
    Report m_nextReport;
    std::multimap<Instant, std::pair<std::size_t, int>> m_retries;
};

} // namespace oleanderhall::test
