#pragma once

#include "oleanderhall/core/errors.h"
#include "oleanderhall/platform/table.h"
#include "oleanderhall/routing/claimrecord.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhall {

/// Asks for the right to send one unrepeatable request. The keys within a batch must be distinct.
struct ClaimRequest
{
    TableKey key;
    std::string requestHash; ///< Hash of the method, target and body of the request.
    std::string token; ///< Unique to this claim attempt.
};

/// The right to send one request. It belongs to the claim attempt whose token is in the record.
struct ClaimHandle
{
    TableKey key;
    std::uint64_t version = 0; ///< Version of the table row that holds the claim.
    ClaimRecord record;
};

/// The result of a ClaimRequest.
using ClaimOutcome = std::variant<ClaimHandle, ReplayedResponse, Refusal>;

/// A ClaimStore stores claims in the platform's table, so that a request with an idempotency key is
/// executed at most once, whichever entry hosts receive it. A handle is returned only when the row
/// is known to hold the token of the request. If that can't be determined, the request is refused
/// as not executed. Calls block until the table responds or the call times out. The class is
/// stateless and may be used from any thread.
template <Table TableType>
class ClaimStore
{
public:
    explicit ClaimStore(TableType &table)
        : m_table(table)
    {}

    /// Claims a batch of requests. Returns one outcome per request, in the same order.
    std::vector<ClaimOutcome> claim(const std::vector<ClaimRequest> &requests)
    {
        std::vector<ClaimOutcome> outcomes(requests.size(), unavailable());
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < requests.size(); ++index)
            open.push_back(index);
        while (!open.empty()) {
            const std::vector<std::size_t> taken = insertOpen(requests, open, outcomes);
            for (const std::size_t index : taken)
                outcomes[index] = resolveExisting(requests[index]);
            std::erase_if(open, [&taken](std::size_t index) {
                return std::find(taken.begin(), taken.end(), index) != taken.end();
            });
            if (taken.empty())
                break;
        }
        return outcomes;
    }

    /// Writes the final `record` of the request that `handle` belongs to. Returns false when the
    /// write may not have taken effect and should be retried.
    bool recordOutcome(const ClaimHandle &handle, const ClaimRecord &record)
    {
        try {
            m_table.transact({makePut(handle.key, record, handle.version)},
                             record.token + "-" + std::to_string(handle.version + 1));
            return true;
        } catch (const ConditionFailed &) {
            return true; // An earlier attempt at this write has taken effect.
        } catch (const PlatformUnavailable &) {
            return false;
        } catch (const OutcomeUnknown &) {
            return false;
        }
    }

    /// Releases the claim of a request that was refused while the write of its claim could still
    /// take effect.
    /// Returns true when the row is known to hold no open claim of this request.
    bool releaseIfHeld(const ClaimRequest &request)
    {
        try {
            const auto item = m_table.read(request.key);
            if (!item)
                return false; // The write of the claim may still take effect.
            ClaimRecord record = parseClaim(item->data);
            if (record.token != request.token || record.state != ClaimState::Claimed)
                return true;
            record.state = ClaimState::Released;
            return recordOutcome({request.key, item->version, record}, record);
        } catch (const PlatformUnavailable &) {
            return false;
        }
    }

private:
    static Refusal unavailable()
    {
        return {RefusalReason::ClaimsUnavailable, ExecutionStatus::NotExecuted, Millis(1000)};
    }

    static ClaimRecord recordFor(const ClaimRequest &request)
    {
        return {.token = request.token, .requestHash = request.requestHash};
    }

    static TableWrite makePut(const TableKey &key, const ClaimRecord &record,
                              std::uint64_t expectedVersion)
    {
        return {.key = key,
                .expectedVersion = expectedVersion,
                .version = expectedVersion + 1,
                .data = encodeClaim(record)};
    }

    /// Inserts a row for each open request in one transaction and sets the outcomes. If any of the
    /// rows exists already, inserts none, leaves the outcomes as they are and returns the indexes
    /// of the requests whose rows exist.
    std::vector<std::size_t> insertOpen(const std::vector<ClaimRequest> &requests,
                                        const std::vector<std::size_t> &open,
                                        std::vector<ClaimOutcome> &outcomes)
    {
        std::vector<TableWrite> writes;
        writes.reserve(open.size());
        for (const std::size_t index : open) {
            writes.push_back(
                makePut(requests[index].key, recordFor(requests[index]), TableWrite::kAbsent));
        }
        try {
            // The table requires a different token for each set of writes.
            m_table.transact(writes,
                             requests[open.front()].token + "-" + std::to_string(open.size()));
            for (const std::size_t index : open)
                outcomes[index] = ClaimHandle{requests[index].key, 1, recordFor(requests[index])};
        } catch (const ConditionFailed &error) {
            std::vector<std::size_t> taken;
            taken.reserve(error.failedWrites().size());
            for (const std::size_t write : error.failedWrites())
                taken.push_back(open.at(write));
            return taken;
        } catch (const PlatformUnavailable &) {
            // The outcomes already hold the refusal.
        } catch (const OutcomeUnknown &) {
            for (const std::size_t index : open)
                outcomes[index] = readBack(requests[index]);
        }
        return {};
    }

    /// Determines the outcome of a request whose row existed when it was inserted.
    ClaimOutcome resolveExisting(const ClaimRequest &request)
    {
        try {
            const auto item = m_table.read(request.key);
            std::optional<ClaimRecord> existing;
            if (item)
                existing = parseClaim(item->data);
            if (existing && isHeldBy(*existing, request))
                return ClaimHandle{request.key, item->version, *existing};
            const ClaimDecision decision = evaluateClaim(existing, request.requestHash);
            if (const auto *refusal = std::get_if<Refusal>(&decision))
                return *refusal;
            if (const auto *replay = std::get_if<ReplayedResponse>(&decision))
                return *replay;
            return replace(request, item ? item->version : TableWrite::kAbsent);
        } catch (const PlatformUnavailable &) {
            return unavailable();
        }
    }

    /// Writes a claim of `request` over the row at `version`, or inserts it for kAbsent.
    ClaimOutcome replace(const ClaimRequest &request, std::uint64_t version)
    {
        try {
            m_table.transact({makePut(request.key, recordFor(request), version)},
                             request.token + "-again");
            return ClaimHandle{request.key, version + 1, recordFor(request)};
        } catch (const ConditionFailed &) {
            return Refusal{RefusalReason::DuplicateInProgress, ExecutionStatus::Unknown,
                           Millis(1000)};
        } catch (const OutcomeUnknown &) {
            return readBack(request);
        }
    }

    /// Reads the row after a write whose outcome is unknown.
    ClaimOutcome readBack(const ClaimRequest &request)
    {
        try {
            const auto item = m_table.read(request.key);
            if (!item)
                return unavailable();
            const ClaimRecord record = parseClaim(item->data);
            if (isHeldBy(record, request))
                return ClaimHandle{request.key, item->version, record};
        } catch (const PlatformUnavailable &) {
            // Refused below, because it is unknown whether the claim was stored.
        }
        return unavailable();
    }

    static bool isHeldBy(const ClaimRecord &record, const ClaimRequest &request)
    {
        return record.token == request.token && record.state == ClaimState::Claimed;
    }

    TableType &m_table;
};

} // namespace oleanderhall
