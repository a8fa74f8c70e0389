#pragma once

#include <algorithm>
#include <cstdint>

namespace oleanderhall {

/// Resources that a task requests or a worker provides.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    /// Returns whether no resource exceeds the one in `available`.
    bool fitsInto(const Resources &available) const
    {
        return milliCores <= available.milliCores && memoryMb <= available.memoryMb
            && gpus <= available.gpus;
    }
    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }
    /// Returns the resources of `count` tasks that need `each`.
    friend Resources times(const Resources &each, int count)
    {
        return {.milliCores = each.milliCores * count,
                .memoryMb = each.memoryMb * count,
                .gpus = each.gpus * count};
    }
    /// Returns the higher amount of each resource.
    friend Resources higher(const Resources &a, const Resources &b)
    {
        return {.milliCores = std::max(a.milliCores, b.milliCores),
                .memoryMb = std::max(a.memoryMb, b.memoryMb),
                .gpus = std::max(a.gpus, b.gpus)};
    }
    friend bool operator==(const Resources &, const Resources &) = default;
};

} // namespace oleanderhall
