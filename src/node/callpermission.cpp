#include "callpermission.h"

namespace oleanderhall {

CallPermission callPermission(platform::WorkerClient::CallKind kind, const Ownership &ownership,
                              const StartGate &gate, Instant now)
{
    using Kind = platform::WorkerClient::CallKind;
    const bool hasLease = kind == Kind::Poll ? ownership.mayExtendLeases(now)
                                             : ownership.maySendCommands(now);
    if (!hasLease)
        return CallPermission::LeaseExpired;
    return kind == Kind::Start && !gate.mayStart(now) ? CallPermission::FactsTooOld
                                                      : CallPermission::Granted;
}

} // namespace oleanderhall
