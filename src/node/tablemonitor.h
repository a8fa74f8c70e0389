#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/routing/tableavailability.h"
#include "oleanderhall/routing/tablespeed.h"

namespace oleanderhall {

/// Internal: what this node's own calls tell about the table service.
struct TableMonitor
{
    TableAvailability availability;
    TableSpeed speed;

    void observe(const platform::TableCall &call, Instant now);
};

} // namespace oleanderhall
