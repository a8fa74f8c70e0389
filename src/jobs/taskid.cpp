#include "oleanderhall/jobs/taskid.h"

#include <array>
#include <charconv>

namespace oleanderhall {

namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr int kHexBase = 16;
constexpr std::size_t kNumberParts = 3; // occurrence, step and index

} // namespace

std::string textOf(JobId id)
{
    std::array<char, kJobIdDigits> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), id.value,
                                   kHexBase);
    const std::string text(digits.data(), end.ptr);
    return std::string(kJobIdDigits - text.size(), '0') + text;
}

std::optional<JobId> parseJobId(std::string_view text)
{
    if (text.size() != kJobIdDigits)
        return std::nullopt;
    JobId id;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), id.value, kHexBase);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return id;
}

std::string textOf(const TaskId &id)
{
    return textOf(id.job) + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step)
        + "." + std::to_string(id.index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    const auto job = parseJobId(text.substr(0, kJobIdDigits));
    if (!job)
        return std::nullopt;
    text.remove_prefix(kJobIdDigits);
    std::array<int, kNumberParts> numbers{};
    for (int &number : numbers) {
        if (text.empty() || text.front() != '.')
            return std::nullopt;
        text.remove_prefix(1);
        const auto end = std::from_chars(text.data(), text.data() + text.size(), number);
        if (end.ec != std::errc() || number < 0)
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end.ptr - text.data()));
    }
    if (!text.empty())
        return std::nullopt;
    return TaskId{*job, numbers[0], numbers[1], numbers[2]};
}

} // namespace oleanderhall
