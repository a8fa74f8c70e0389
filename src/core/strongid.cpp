#include "oleanderhall/core/strongid.h"

#include <mutex>
#include <unordered_set>

namespace oleanderhall {

const std::string *internName(std::string_view name)
{
    static std::mutex mutex;
    static std::unordered_set<std::string> names;
    const std::lock_guard lock(mutex);
    return &*names.emplace(name).first;
}

} // namespace oleanderhall
