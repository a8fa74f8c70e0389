#pragma once

#include "oleanderhall/core/time.h"

#include <string>

namespace oleanderhall {

/// An HttpObjectStore keeps objects by the plain PUT and GET of the usual object store protocol.
class HttpObjectStore
{
public:
    HttpObjectStore(std::string address, Millis timeout);

    /// Throws PlatformUnavailable unless the object is known to be kept.
    void put(const std::string &key, const std::string &data);
    /// Throws PlatformUnavailable when the object can't be had.
    std::string fetch(const std::string &key);

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
