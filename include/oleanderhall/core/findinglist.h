#pragma once

#include "oleanderhall/core/finding.h"

#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// A FindingList collects all errors of a document, so that operators see them at once.
class FindingList
{
public:
    void add(Finding finding) { m_items.push_back(std::move(finding)); }
    bool empty() const { return m_items.empty(); }
    const std::vector<Finding> &items() const { return m_items; }

    /// Returns all findings, one per line.
    std::string text() const
    {
        std::string result;
        for (const Finding &finding : m_items)
            result += finding.text() + "\n";
        return result;
    }

private:
    std::vector<Finding> m_items;
};

} // namespace oleanderhall
