#include "names.h"

#include "oleanderhall/fleet/disruption.h"
#include "oleanderhall/fleet/hoststate.h"
#include "oleanderhall/fleet/instancestate.h"
#include "oleanderhall/fleet/wavestatus.h"

namespace oleanderhall {

namespace {

constexpr NameTable<HostState, 6> kHostStates{{
    {HostState::Joining, "joining"},
    {HostState::Serving, "serving"},
    {HostState::Draining, "draining"},
    {HostState::Stopped, "stopped"},
    {HostState::Rebooting, "rebooting"},
    {HostState::Failed, "failed"},
}};

constexpr NameTable<Disruption, 5> kDisruptions{{
    {Disruption::None, "none"},
    {Disruption::Reboot, "reboot"},
    {Disruption::Move, "move"},
    {Disruption::Remove, "remove"},
    {Disruption::Leave, "leave"},
}};

constexpr NameTable<WaveStatus, 4> kWaveStatuses{{
    {WaveStatus::Running, "running"},
    {WaveStatus::Paused, "paused"},
    {WaveStatus::Stopped, "stopped"},
    {WaveStatus::Done, "done"},
}};

constexpr NameTable<InstanceState, 2> kInstanceStates{{
    {InstanceState::Starting, "starting"},
    {InstanceState::Ready, "ready"},
}};

} // namespace

std::string_view nameOf(HostState state)
{
    return nameIn(kHostStates, state);
}

std::optional<HostState> hostStateFrom(std::string_view name)
{
    return valueIn(kHostStates, name);
}

std::string_view nameOf(Disruption disruption)
{
    return nameIn(kDisruptions, disruption);
}

std::optional<Disruption> disruptionFrom(std::string_view name)
{
    return valueIn(kDisruptions, name);
}

std::string_view nameOf(WaveStatus status)
{
    return nameIn(kWaveStatuses, status);
}

std::optional<WaveStatus> waveStatusFrom(std::string_view name)
{
    return valueIn(kWaveStatuses, name);
}

std::string_view nameOf(InstanceState state)
{
    return nameIn(kInstanceStates, state);
}

std::optional<InstanceState> instanceStateFrom(std::string_view name)
{
    return valueIn(kInstanceStates, name);
}

} // namespace oleanderhall
