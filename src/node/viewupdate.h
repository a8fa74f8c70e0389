#pragma once

#include "fleetview.h"

#include "../../platform/tableclient.h"

#include "oleanderhall/ownership/ownership.h"

#include <string>

namespace oleanderhall {

// Internal: takes rows of the table into a node's view. A row that can't be read changes nothing
// and gives one log line.

/// Returns what the row of the term says.
TermRecord decodeTerm(const platform::TableRow &row);
/// Takes the owner's report, which its heartbeat carries.
void applyOwnerReport(FleetView &view, const std::string &text);
/// Takes the hosts that a wave has maintained.
void applyMaintainedHosts(FleetView &view, const platform::TableRow &row);
/// Takes a row that operators wrote: the configuration, unless an older one, or a wave.
void applyOperatorRow(FleetView &view, const platform::TableRow &row);

} // namespace oleanderhall
