#include "oleanderhall/core/clock.h"

#include <ctime>

namespace oleanderhall {

Instant monotonicNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace oleanderhall
