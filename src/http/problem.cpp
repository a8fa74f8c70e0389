#include "problem.h"

#include <string>

namespace oleanderhall {

namespace {

constexpr Millis kSecond{1000};

std::string retryAfterSeconds(Millis retryAfter)
{
    const auto seconds = (retryAfter + kSecond - Millis(1)) / kSecond;
    return std::to_string(std::max<Millis::rep>(seconds, 1));
}

} // namespace

Reply problemReply(const Refusal &refusal)
{
    const std::string reason(nameOf(refusal.reason));
    Reply reply{.status = statusOf(refusal.reason)};
    reply.headers.emplace_back("Content-Type", "application/problem+json");
    reply.headers.emplace_back("Cache-Control", "no-store");
    if (refusal.retryAfter)
        reply.headers.emplace_back("Retry-After", retryAfterSeconds(*refusal.retryAfter));
    reply.body = "{\"type\":\"urn:oleanderhall:refusal:" + reason + "\",\"title\":\"" + reason
        + "\",\"status\":" + std::to_string(reply.status) + ",\"reason\":\"" + reason
        + "\",\"ran\":\"" + std::string(nameOf(refusal.execution)) + "\"}\n";
    return reply;
}

} // namespace oleanderhall
