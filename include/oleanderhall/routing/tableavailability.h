#pragma once

namespace oleanderhall {

/// A TableAvailability tells whether the table service serves this node, from the results of the
/// node's own calls. The service may reject some nodes while it serves the others; a rejected node
/// learns this here sooner than from the age of its last contact.
class TableAvailability
{
public:
    /// The number of successive failures after which the table counts as unavailable. Two in a row
    /// also occur when single calls are lost.
    static constexpr int kMaxFailures = 3;

    /// Records that the table executed a call, even if a precondition did not hold.
    void onExecuted() { m_failures = 0; }
    /// Records that the table rejected a call or did not answer it.
    void onFailed()
    {
        if (m_failures < kMaxFailures)
            ++m_failures;
    }

    /// One executed call is enough to make the table available again.
    bool isAvailable() const { return m_failures < kMaxFailures; }

private:
    int m_failures = 0; ///< Since the last executed call.
};

} // namespace oleanderhall
