#pragma once

#include "oleanderhall/core/findinglist.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Thrown when a document is rejected, with all findings. The document has had no effect.
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

/// Thrown when the platform rejected a call or was unreachable before the call was sent. The call
/// had no effect.
class PlatformUnavailable : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Thrown when a call to the platform was sent but got no valid answer. The call may have taken
/// effect, or may still do so later.
class OutcomeUnknown : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Thrown when the condition of a conditional write was not met.
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
