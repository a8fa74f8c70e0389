#include "candidaterow.h"

#include "storednames.h"

#include "../daemon/log.h"

#include <cpprest/json.h>

namespace oleanderhall {

platform::TableRow encodeCandidate(const std::string &name, const Candidate &candidate)
{
    web::json::value record = web::json::value::object();
    record["processorShare"] = web::json::value(candidate.processorCores);
    record["lagMs"] = web::json::value(candidate.loopLag.count());
    return {kControlTable, std::string(kCandidatePrefix) + name, record.serialize()};
}

std::optional<Candidate> decodeCandidate(const platform::TableRow &row)
{
    try {
        const web::json::value record = web::json::value::parse(row.value);
        return Candidate{.processorCores = record.at("processorShare").as_double(),
                         .loopLag = Millis(record.at("lagMs").as_number().to_int64())};
    } catch (const web::json::json_exception &error) {
        logWarning("candidate_unreadable", {{"key", row.key}, {"reason", error.what()}});
        return std::nullopt;
    }
}

} // namespace oleanderhall
