// Pattern: an owner whose link is too small for its fleet has far more tasks to start than the link
// carries within the time of an order, as after a loss of power.
#include "oleanderhall/scheduling/congestionwindow.h"

#include <catch2/catch.hpp>

#include <deque>
#include <limits>

using namespace oleanderhall;

namespace {

constexpr int kTasks = 20000;
constexpr int kLinkMs = 3; // for one order: 3.75 KB at 10 Mbit/s
constexpr int kOrderTimeMs = 350;
constexpr int kLengthMs = 6000;
constexpr int kBound = kLengthMs / kLinkMs; // orders that the link carries at all

/// A window that never changes.
struct FixedWindow
{
    int size = std::numeric_limits<int>::max();
    int open = 0;

    bool isOpen() const { return open < size; }
    void onSent() { ++open; }
    void onCompleted(bool) { --open; }
};

/// Returns how many orders were answered within their time.
template <typename Window>
int startOver(Window window)
{
    std::deque<int> link; // when each order was sent
    int answered = 0;
    int left = kTasks;
    for (int now = 0; now < kLengthMs; ++now) {
        while (left > 0 && window.isOpen()) {
            link.push_back(now);
            window.onSent();
            --left;
        }
        if (now % kLinkMs != 0 || link.empty())
            continue;
        // An order that is late takes its time on the link all the same.
        const bool isInTime = now - link.front() <= kOrderTimeMs;
        link.pop_front();
        answered += isInTime ? 1 : 0;
        window.onCompleted(isInTime);
    }
    return answered;
}

} // namespace

TEST_CASE("OrderWindow_smallLinkAndManyTasks_mostOrdersAreAnsweredInTime", "[scheduler]")
{
    const int ours = startOver(CongestionWindow());
    const int allAtOnce = startOver(FixedWindow{});
    const int large = startOver(FixedWindow{1024});
    INFO("ours " << ours << ", all at once " << allAtOnce << ", 1,024 at a time " << large
                 << ", bound " << kBound);
    CHECK(ours > allAtOnce);
    CHECK(ours > large);
    // At most a fifth is lost to finding the size.
    CHECK(ours > kBound * 8 / 10);
}

TEST_CASE("OrderWindow_everyOrderAnswered_grows", "[scheduler]")
{
    CongestionWindow window;
    const std::size_t first = window.size();
    for (int order = 0; order < 5000; ++order) {
        window.onSent();
        window.onCompleted(true);
    }
    CHECK(window.size() > first);
    CHECK(window.inFlight() == 0);
}

TEST_CASE("OrderWindow_oneSilentWorkerOfMany_keepsItsSize", "[scheduler]")
{
    CongestionWindow window;
    const std::size_t first = window.size();
    for (int order = 0; order < 1000; ++order) {
        window.onSent();
        window.onCompleted(order % 10 != 0);
    }
    CHECK(window.size() >= first);
}

TEST_CASE("OrderWindow_nothingAnswered_staysOpenForSome", "[scheduler]")
{
    CongestionWindow window;
    for (int order = 0; order < 5000; ++order) {
        window.onSent();
        window.onCompleted(false);
    }
    CHECK(window.isOpen());
    CHECK(window.size() > 0);
}
