#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/register/registerpatch.h"

#include <stdexcept>
#include <utility>

namespace oleanderhall {

/// Internal: thrown when a proposed configuration is based on a version that is no longer current,
/// because another change was committed first. Contains the current version and the difference
/// between the current and the proposed configuration.
class StaleBase : public std::runtime_error
{
public:
    StaleBase(ConfigVersion current, RegisterPatch difference)
        : std::runtime_error("the configuration has changed since the base version")
        , m_current(current)
        , m_difference(std::move(difference))
    {}
    ConfigVersion current() const { return m_current; }
    const RegisterPatch &difference() const { return m_difference; }

private:
    ConfigVersion m_current;
    RegisterPatch m_difference;
};

} // namespace oleanderhall
