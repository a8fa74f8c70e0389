#pragma once

#include "oleanderhall/core/findinglist.h"
#include "oleanderhall/core/jsoncursor.h"
#include "oleanderhall/register/register.h"
#include "oleanderhall/register/registerpatch.h"

#include <string>

namespace oleanderhall {

/// The schema version that a register and a rules document must declare.
inline constexpr int kSchemaVersion = 1;

/// The text of an operator's document and the name under which findings are reported.
struct Document
{
    std::string name;
    std::string text;
};

/// Parses a register document and a rules document into one Register. Throws InvalidDocument with
/// all findings of both documents, the cross-checks included, when there is any.
Register parseRegister(const Document &hosts, const Document &rules);

/// Records a finding for every rule of `candidate` that no plan can meet: unknown pools and
/// services, ports used twice, budgets above a pool's size.
void checkRegister(const Register &candidate, const std::string &file, FindingList &findings);

/// Records a finding for every difference from `current` that can't be adopted while hosts still
/// serve by `current`, such as a port that passes from one service to another.
void checkTransition(const Register &current, const Register &candidate, FindingList &findings);

HostSpec parseHostSpec(const JsonCursor &cursor);
PoolRule parsePoolRule(const JsonCursor &cursor);
ServiceRule parseServiceRule(const JsonCursor &cursor);
WaveRule parseWaveRule(const JsonCursor &cursor);
/// Parses a patch in the form that toJson(RegisterPatch) writes.
RegisterPatch parseRegisterPatch(const JsonCursor &cursor);

web::json::value toJson(const HostSpec &spec);
web::json::value toJson(const PoolRule &rule);
web::json::value toJson(const ServiceRule &rule);
web::json::value toJson(const WaveRule &rule);
web::json::value toJson(const RegisterPatch &patch);
/// Returns the register as one patch against an empty register.
web::json::value toJson(const Register &value);

} // namespace oleanderhall
