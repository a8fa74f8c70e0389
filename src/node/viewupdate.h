#pragma once

#include "fleetview.h"

#include "../../platform/tableclient.h"

#include "oleanderhall/ownership/ownership.h"

#include <string>

namespace oleanderhall {

// Internal: decodes rows of the table service and applies them to a node's view. A row that can't
// be decoded changes nothing and is logged as a warning.

/// Decodes the term's row. A row that can't be decoded still yields its version.
TermRecord decodeTerm(const platform::TableRow &row);
/// Applies the owner's report, the value of the heartbeat row.
void applyOwnerReport(FleetView &view, const std::string &text);
/// Adds the hosts that a wave has maintained.
void applyMaintainedHosts(FleetView &view, const platform::TableRow &row);
/// Applies a row that operators wrote: a wave, or the configuration unless its version is not newer
/// than the one in force.
void applyOperatorRow(FleetView &view, const platform::TableRow &row);

} // namespace oleanderhall
