// Starts after the cancellation of their job. The load: an owner slowed ten times, long polls that
// are answered late, commands that are carried out late, and cancellations all the while.
#include "oleanderhall/scheduling/startgate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace oleanderhall;

namespace {

constexpr Millis kCancelTimeout{4000};

/// Simulates one owner and one worker. Time passes in steps of 10 ms.
class CancelSimulation
{
public:
    explicit CancelSimulation(unsigned seed)
        : m_random(seed)
    {}

    /// Returns the longest time from an acknowledged cancellation to a start of its job.
    Millis longestDelay() const { return m_longestDelay; }
    int startCount() const { return m_startCount; }

    void run()
    {
        for (int step = 0; step < kSteps; ++step) {
            m_now += kStep;
            acknowledgeCancellations();
            executeStarts();
            if (m_now < m_busyUntil)
                continue;
            // The event loop handles one event, which takes the slowed owner up to 1.5 s.
            handleRead();
            sendStarts();
            m_busyUntil = m_now + Millis(between(1, between(0, 2) == 0 ? 1500 : 60));
        }
    }

private:
    static constexpr int kSteps = 2000;
    static constexpr Millis kStep{10};
    static constexpr int kJobs = 300;

    struct Read
    {
        Instant sent;
        Instant answered;
    };
    struct Start
    {
        int job = 0;
        Instant executed;
        Instant latest; ///< The lease's expiry, on the clock of the worker.
    };

    /// Returns a random number of at least `low` and below `high`.
    int between(int low, int high)
    {
        return std::uniform_int_distribution(low, high - 1)(m_random);
    }

    void acknowledgeCancellations()
    {
        if (between(0, 6) == 0)
            m_cancelledAt.try_emplace(between(0, kJobs), m_now);
    }

    void handleRead()
    {
        if (m_read && m_now >= m_read->answered) {
            // Only what was acknowledged before the read was sent is certainly part of it.
            for (const auto &[job, at] : m_cancelledAt) {
                if (at <= m_read->sent)
                    m_known[job] = true;
            }
            m_gate.onCancellationsRead(m_read->sent);
            m_read.reset();
        }
        if (!m_read)
            m_read = Read{m_now, m_now + Millis(between(5, 2500))};
    }

    void sendStarts()
    {
        const int job = between(0, kJobs);
        if (m_known[job] || !m_gate.mayStart(m_now))
            return;
        // The worker's clock may run 2 % slow.
        const auto left = std::chrono::duration_cast<Millis>(m_gate.latestStart() - m_now);
        m_starts.push_back({.job = job,
                            .executed = m_now + Millis(between(1, 12000)),
                            .latest = m_now + left * 102 / 100});
    }

    void executeStarts()
    {
        std::erase_if(m_starts, [this](const Start &start) {
            if (m_now < start.executed)
                return false;
            const auto cancelled = m_cancelledAt.find(start.job);
            if (m_now <= start.latest) {
                ++m_startCount;
                if (cancelled != m_cancelledAt.end())
                    m_longestDelay = std::max(
                        m_longestDelay,
                        std::chrono::duration_cast<Millis>(m_now - cancelled->second));
            }
            return true;
        });
    }

    std::mt19937 m_random;
    Instant m_now{std::chrono::hours(1)};
    Instant m_busyUntil{};
    StartGate m_gate{kCancelTimeout};
    std::map<int, Instant> m_cancelledAt; ///< By job.
    std::map<int, bool> m_known; ///< Whether the owner knows of the cancellation.
    std::optional<Read> m_read;
    std::vector<Start> m_starts;
    Millis m_longestDelay{0};
    int m_startCount = 0;
};

} // namespace

TEST_CASE("StartGate_nothingRead_allowsNoStart", "[startgate]")
{
    // Guards against an initial time so low that the subtraction of the delivery time overflows.
    StartGate gate(kCancelTimeout);
    CHECK_FALSE(gate.mayStart(Instant(std::chrono::hours(1))));
}

TEST_CASE("StartGate_withoutLimit_allowsAllStarts", "[startgate]")
{
    CHECK(StartGate().mayStart(Instant(std::chrono::hours(1))));
}

TEST_CASE("StartGate_readGrowsOld_closesBeforeTheBound", "[startgate]")
{
    // Guards against the observed start 4.0 s after the acknowledged cancellation of its job.
    const Instant sent{std::chrono::hours(1)};
    StartGate gate(kCancelTimeout);
    gate.onCancellationsRead(sent);
    CHECK(gate.mayStart(sent + Millis(3200)));
    CHECK_FALSE(gate.mayStart(sent + Millis(3201)));
    CHECK(gate.latestStart() == sent + Millis(3900));
    gate.onCancellationsRead(sent - Millis(500)); // an answer that arrived out of order
    CHECK(gate.latestStart() == sent + Millis(3900));
    gate.onCancellationsRead(sent + Millis(3000));
    CHECK(gate.mayStart(sent + Millis(3201)));
}

TEST_CASE("StartGate_slowedOwner_startsNothingAfterTheBound", "[startgate]")
{
    int starts = 0;
    Millis longest{0};
    CHECK(rc::check("no start later than the bound after a cancellation", [&](unsigned seed) {
        CancelSimulation simulation(seed);
        simulation.run();
        starts += simulation.startCount();
        longest = std::max(longest, simulation.longestDelay());
        RC_ASSERT(simulation.longestDelay() <= kCancelTimeout);
    }));
    CHECK(starts > 0);
    std::cout << "longest time from a cancellation to a start: " << longest.count() << " ms, of "
              << starts << " starts\n";
}
