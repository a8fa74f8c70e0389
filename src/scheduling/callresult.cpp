#include "oleanderhall/scheduling/callresult.h"

namespace oleanderhall {

const char *nameOf(CallResult result)
{
    switch (result) {
    case CallResult::Ok:
        return "ok";
    case CallResult::NotSent:
        return "not_sent";
    case CallResult::Withheld:
        return "withheld";
    case CallResult::Unknown:
        return "outcome_unknown";
    case CallResult::OtherIncarnation:
        return "other_life";
    case CallResult::Fenced:
        return "fenced";
    case CallResult::RunTooOld:
        return "run_too_old";
    case CallResult::TooLate:
        return "too_late";
    case CallResult::NoCapacity:
        return "no_room";
    case CallResult::TicketRejected:
        return "no_ticket";
    case CallResult::Unhealthy:
        return "unhealthy";
    case CallResult::Invalid:
        return "invalid";
    }
    return "unnamed";
}

} // namespace oleanderhall
