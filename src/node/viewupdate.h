#pragma once

#include "fleetview.h"

#include "../../platform/tableclient.h"

#include "oleanderhall/ownership/ownership.h"

#include <string>

namespace oleanderhall {

// Internal: decodes rows of the table service and applies them to a node's view. A row that can't
// be decoded is logged as a warning; each function says what such a row still changes.

/// Decodes the term's row. A row that can't be decoded still yields its version and the members
/// decoded before the error.
TermRecord decodeTerm(const platform::TableRow &row);
/// Applies the owner's report, the value of the heartbeat row. Invalid JSON changes nothing, nor
/// does a report without queue lengths. If the pools' and teams' load can't be decoded, it is
/// unknown and the rest stays as it was. If the queue lengths can't be decoded, the previous ones
/// are dropped, those decoded before the error are applied and the report's time of receipt stays.
void applyOwnerReport(FleetView &view, const std::string &text);
/// Adds the handled hosts of a wave. If an entry can't be decoded, the hosts before it
/// have been added. Invalid JSON or an invalid key changes nothing.
void applyHandledHosts(FleetView &view, const platform::TableRow &row);
/// Applies a row that operators wrote: a wave, or a configuration newer than the one in force. A
/// row that is deleted or can't be decoded changes nothing.
void applyOperatorRow(FleetView &view, const platform::TableRow &row);

} // namespace oleanderhall
