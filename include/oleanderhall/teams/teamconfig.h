#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/teams/apikeydigest.h"

#include <vector>

namespace oleanderhall {

/// The configuration of one team.
struct TeamConfig
{
    TeamId id;
    std::vector<ApiKeyDigest> keys; ///< Each of them admits calls of the team.
    /// The team's share of a full pool, relative to those of other teams, and the number of jobs a
    /// second that it may submit.
    double weight = 0;
    /// What all running tasks of the team may use together; 0 means no limit of that resource.
    Resources maxRunning;
};

} // namespace oleanderhall
