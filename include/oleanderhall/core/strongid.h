#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace oleanderhall {

/// Returns the shared copy of `name`. Internal to StrongId. Names are never freed, so only names
/// from an accepted register or from settings may be passed.
const std::string *internName(std::string_view name);

/// A StrongId is a name of the kind `Tag`, so that a host's id can't be passed as a pool's id. It
/// has the size of a pointer. Ids are compared for equality by address and ordered by name. Never
/// create one from a caller's input, as names are never freed; look the name up instead.
template <typename Tag>
class StrongId
{
public:
    StrongId()
        : m_name(internName({}))
    {}
    explicit StrongId(std::string_view name)
        : m_name(internName(name))
    {}

    const std::string &name() const { return *m_name; }
    bool empty() const { return m_name->empty(); }

    friend bool operator==(StrongId left, StrongId right) { return left.m_name == right.m_name; }
    friend std::strong_ordering operator<=>(StrongId left, StrongId right)
    {
        if (left.m_name == right.m_name)
            return std::strong_ordering::equal;
        return *left.m_name <=> *right.m_name;
    }

private:
    const std::string *m_name;
};

} // namespace oleanderhall
