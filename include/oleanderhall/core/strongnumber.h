#pragma once

#include <compare>
#include <cstdint>

namespace oleanderhall {

/// A StrongNumber is a number of the kind `Tag`, so that a configuration's version can't be
/// compared with a sequence number. It is an aggregate; zero means "none yet".
template <typename Tag>
struct StrongNumber
{
    std::uint64_t value = 0;

    StrongNumber next() const { return {value + 1}; }
    friend auto operator<=>(const StrongNumber &, const StrongNumber &) = default;
};

} // namespace oleanderhall
