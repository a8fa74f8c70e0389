#pragma once

#include "oleanderhall/core/findinglist.h"
#include "oleanderhall/core/jsoncursor.h"
#include "oleanderhall/register/register.h"
#include "oleanderhall/register/registerpatch.h"

#include <string>

namespace oleanderhall {

/// The schema version that register and rules documents must declare.
inline constexpr int kSchemaVersion = 1;

/// An operators' document: its text and the name that findings report for it.
struct Document
{
    std::string name;
    std::string text;
};

/// Parses a register document and a rules document. Throws InvalidDocument with all findings if
/// either is invalid. The checks across both, checkRegister(), run only if each is valid in itself.
Register parseRegister(const Document &hosts, const Document &rules);

/// Records a finding for every contradiction within `candidate`: unknown pools, ports or addresses
/// used more than once, and budgets or instance counts that the size of the pool does not allow.
/// `file` is the document name that the findings report.
void checkRegister(const Register &candidate, const std::string &file, FindingList &findings);

/// Records a finding for every change from `current` to `candidate` that is unsafe while entry
/// hosts still route by `current`: a port reassigned to another service, a changed host address.
void checkTransition(const Register &current, const Register &candidate, FindingList &findings);

/// Each of these parses the object at `cursor` and records a finding for each invalid member.
HostSpec parseHostSpec(const JsonCursor &cursor);
PoolRule parsePoolRule(const JsonCursor &cursor);
ServiceRule parseServiceRule(const JsonCursor &cursor);
WaveRule parseWaveRule(const JsonCursor &cursor);
/// Parses the output of toJson(const RegisterPatch &).
RegisterPatch parseRegisterPatch(const JsonCursor &cursor);

web::json::value toJson(const HostSpec &spec);
web::json::value toJson(const PoolRule &rule);
web::json::value toJson(const ServiceRule &rule);
web::json::value toJson(const WaveRule &rule);
web::json::value toJson(const RegisterPatch &patch);
/// Returns the JSON of the patch from an empty register to `source`, always with the wave rule.
web::json::value toJson(const Register &source);

} // namespace oleanderhall
