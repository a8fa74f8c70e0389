#pragma once

#include <string>

namespace oleanderhall {

/// A Finding is one fault in an operator's document or settings: the file, the place in it as a
/// JSON pointer or flag name, what is wrong and what would be right.
struct Finding
{
    std::string file;
    std::string location;
    std::string problem;
    std::string expected;

    /// Returns the finding as one line of text for people.
    std::string text() const
    {
        return file + ":" + location + ": " + problem + "; expected " + expected;
    }
    friend bool operator==(const Finding &, const Finding &) = default;
};

} // namespace oleanderhall
