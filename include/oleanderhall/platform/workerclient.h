#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/fleet/workercommand.h"
#include "oleanderhall/register/register.h"

#include <string>

namespace oleanderhall {

/// A WorkerClient sends commands to the platform's workers and queries their state.
class WorkerClient
{
public:
    /// Worker URLs consist of `address` and the name of the host. A call that takes longer than
    /// `timeout` fails.
    WorkerClient(std::string address, Millis timeout);

    /// Returns the body of a command. `config` provides the address of the host and the rules of
    /// the services in the command.
    static std::string commandBody(const WorkerCommand &command, const Register &config);
    /// Sends a command with its body. Throws PlatformUnavailable or OutcomeUnknown unless the
    /// worker is known to have accepted it. After an exception the command may be sent again.
    void send(const WorkerCommand &command, const std::string &body);
    /// Queries the state of the worker on `host`. Throws PlatformUnavailable when it doesn't
    /// respond or its response is malformed.
    HostObservation observe(HostId host);

private:
    std::string urlOf(HostId host) const;

    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
