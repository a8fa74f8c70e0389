#pragma once

#include "oleanderhall/core/findinglist.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Thrown when a document is turned down. It carries every finding; nothing was changed.
class InvalidDocument : public std::runtime_error
{
public:
    explicit InvalidDocument(FindingList findings)
        : std::runtime_error(findings.text())
        , m_findings(std::move(findings))
    {}
    const FindingList &findings() const { return m_findings; }

private:
    FindingList m_findings;
};

/// Thrown when the platform refused a call or could not be reached before the call was sent. The
/// call had no effect.
class PlatformUnavailable : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Thrown when a call to the platform was sent and no usable answer came. It may have had its
/// effect, or may have it later.
class OutcomeUnknown : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Thrown when a conditional write found another value than the condition named.
class ConditionFailed : public std::runtime_error
{
public:
    /// `failedWrites` are the indexes of the writes whose condition failed.
    ConditionFailed(const std::string &what, std::vector<std::size_t> failedWrites)
        : std::runtime_error(what)
        , m_failedWrites(std::move(failedWrites))
    {}
    const std::vector<std::size_t> &failedWrites() const { return m_failedWrites; }

private:
    std::vector<std::size_t> m_failedWrites;
};

} // namespace oleanderhall
