#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/fleet/workercommand.h"
#include "oleanderhall/register/register.h"

#include <string>

namespace oleanderhall {

/// A WorkerClient tells the platform's workers what to run and asks them what they run.
class WorkerClient
{
public:
    WorkerClient(std::string address, Millis timeout);

    /// Returns the body of a command; `config` gives the settings of the services named.
    static std::string commandBody(const WorkerCommand &command, const Register &config);
    /// Sends a command with its body. Throws PlatformUnavailable when it is not known to be taken;
    /// it may be repeated then.
    void send(const WorkerCommand &command, const std::string &body);
    /// Asks a worker for its state. Throws PlatformUnavailable when it doesn't answer.
    HostObservation observe(HostId host);

private:
    std::string urlOf(HostId host) const;

    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
