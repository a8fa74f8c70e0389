#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace oleanderhall {

/// Returns the one shared copy of `name`. Internal to StrongId: names are kept for the life of the
/// process, so only names from an accepted register or from settings may be passed.
const std::string *internName(std::string_view name);

/// A StrongId names one thing of the kind `Tag`, so that a host's name can't be passed for a
/// pool's. It is one pointer wide; ids compare equal by address and are ordered by their text.
/// Never build one from a caller's input: look the text up instead.
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
