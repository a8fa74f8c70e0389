#include "teamcalllog.h"

#include <utility>

namespace oleanderhall {

namespace {

constexpr Millis kLineInterval{1000};
constexpr const char *kOtherTeams = "(other)";

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        if (character == '\\' || character == '"')
            result += '\\';
        result += character == '\n' ? ' ' : character;
    }
    return result;
}

} // namespace

std::string TeamCallLog::record(TeamId team, const std::string &outcome)
{
    if (m_named.size() < kMaxNames)
        m_named.insert(team);
    const std::string name = m_named.contains(team) ? team.name() : kOtherTeams;
    ++m_counts[name][outcome];
    m_hasRefusals = m_hasRefusals || outcome != "accepted";
    return "team=\"" + escaped(name) + "\",outcome=\"" + outcome + "\"";
}

std::optional<std::string> TeamCallLog::takeLine(Instant now)
{
    if (!m_hasRefusals || now - m_lastLine < kLineInterval)
        return std::nullopt;
    m_lastLine = now;
    m_hasRefusals = false;
    std::string line;
    for (const auto &[team, outcomes] : std::exchange(m_counts, {})) {
        for (const auto &[outcome, count] : outcomes) {
            line += line.empty() ? "" : ",";
            line += team;
            line += ":";
            line += outcome;
            line += "=";
            line += std::to_string(count);
        }
    }
    return line;
}

} // namespace oleanderhall
