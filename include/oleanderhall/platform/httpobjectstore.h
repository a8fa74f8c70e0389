#pragma once

#include "oleanderhall/core/time.h"

#include <string>

namespace oleanderhall {

/// An HttpObjectStore stores objects in an object store by plain HTTP PUT and GET requests. Its
/// keys are appended to the address as paths.
class HttpObjectStore
{
public:
    /// `address` is the URL of the store. A call that takes longer than `timeout` fails.
    HttpObjectStore(std::string address, Millis timeout);

    /// Stores an object. Throws PlatformUnavailable unless it is known to be stored.
    void put(const std::string &key, const std::string &data);
    /// Returns an object. Throws PlatformUnavailable when it can't be read.
    std::string fetch(const std::string &key);

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
