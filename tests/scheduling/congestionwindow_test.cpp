// Simulates an owner whose network link is too small for its fleet: it has far more tasks to start
// than the link carries within the time-out of a command, as after a power failure.
#include "oleanderhall/scheduling/congestionwindow.h"

#include <catch2/catch.hpp>

#include <deque>
#include <limits>

using namespace oleanderhall;

namespace {

constexpr int kTasks = 20000;
constexpr int kTransferTimeMs = 3; // of one command: 3.75 KB at 10 Mbit/s
constexpr int kTimeoutMs = 350;
constexpr int kDurationMs = 6000;
// The number of commands that the link can carry in total.
constexpr int kMaxTransfers = kDurationMs / kTransferTimeMs;

/// A window of constant size.
struct FixedWindow
{
    int size = std::numeric_limits<int>::max();
    int inFlight = 0;

    bool isOpen() const { return inFlight < size; }
    void onSent() { ++inFlight; }
    void onCompleted(bool) { --inFlight; }
};

/// Returns how many start commands were answered before their time-out.
template <typename Window>
int startAllTasks(Window window)
{
    std::deque<int> link; // when each command in transfer was sent
    int answered = 0;
    int waiting = kTasks;
    for (int now = 0; now < kDurationMs; ++now) {
        while (waiting > 0 && window.isOpen()) {
            link.push_back(now);
            window.onSent();
            --waiting;
        }
        if (now % kTransferTimeMs != 0 || link.empty())
            continue;
        // A command that has timed out still occupies the link.
        const bool isInTime = now - link.front() <= kTimeoutMs;
        link.pop_front();
        answered += isInTime ? 1 : 0;
        window.onCompleted(isInTime);
    }
    return answered;
}

} // namespace

TEST_CASE("CongestionWindow_smallLinkAndManyTasks_mostCommandsAreAnsweredInTime", "[scheduler]")
{
    const int adaptive = startAllTasks(CongestionWindow());
    const int allAtOnce = startAllTasks(FixedWindow{});
    const int large = startAllTasks(FixedWindow{1024});
    INFO("adaptive " << adaptive << ", all at once " << allAtOnce << ", 1,024 at a time " << large
                     << ", bound " << kMaxTransfers);
    CHECK(adaptive > allAtOnce);
    CHECK(adaptive > large);
    // Finding the right size costs at most a fifth of the link's capacity.
    CHECK(adaptive > kMaxTransfers * 8 / 10);
}

TEST_CASE("CongestionWindow_everyCommandAnswered_grows", "[scheduler]")
{
    CongestionWindow window;
    const std::size_t first = window.size();
    for (int command = 0; command < 5000; ++command) {
        window.onSent();
        window.onCompleted(true);
    }
    CHECK(window.size() > first);
    CHECK(window.inFlight() == 0);
}

TEST_CASE("CongestionWindow_oneSilentWorkerOfMany_keepsItsSize", "[scheduler]")
{
    CongestionWindow window;
    const std::size_t first = window.size();
    for (int command = 0; command < 1000; ++command) {
        window.onSent();
        window.onCompleted(command % 10 != 0);
    }
    CHECK(window.size() >= first);
}

TEST_CASE("CongestionWindow_nothingAnswered_staysOpenForSome", "[scheduler]")
{
    CongestionWindow window;
    for (int command = 0; command < 5000; ++command) {
        window.onSent();
        window.onCompleted(false);
    }
    CHECK(window.isOpen());
    CHECK(window.size() > 0);
}
