#include "tablemonitor.h"

namespace oleanderhall {

using platform::TableCall;

void TableMonitor::observe(const TableCall &call, Instant now)
{
    const bool isTransaction = call.kind == TableCall::Kind::Transaction;
    switch (call.result) {
    case TableCall::Result::InFlight:
        if (isTransaction)
            speed.onSent(call.sentAt);
        return;
    case TableCall::Result::Executed:
        availability.onExecuted();
        if (isTransaction)
            speed.onExecuted(call.sentAt, now);
        return;
    case TableCall::Result::TooManyRequests:
        // One partition with a long queue rejects transactions of every node. A table that rejects
        // this node also rejects its reads.
        if (isTransaction)
            speed.onQueueFull(call.sentAt, now);
        else
            availability.onFailed();
        return;
    case TableCall::Result::Failed:
        availability.onFailed();
        if (isTransaction)
            speed.onFailed(call.sentAt, now);
        return;
    }
}

} // namespace oleanderhall
