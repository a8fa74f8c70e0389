#pragma once

#include <string>

namespace oleanderhall {

/// A Finding is one error in an operator's document or settings.
struct Finding
{
    std::string file;
    std::string location; ///< A JSON pointer or the name of a flag.
    std::string problem; ///< What is wrong.
    std::string expected; ///< What would be valid.

    /// Returns the finding as one line of readable text.
    std::string text() const
    {
        return file + ":" + location + ": " + problem + "; expected " + expected;
    }
    friend bool operator==(const Finding &, const Finding &) = default;
};

} // namespace oleanderhall
