#include "attempt.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace load {

void writeHistory(const std::string &path, const std::vector<Attempt> &attempts)
{
    std::ofstream file(path);
    for (const Attempt &attempt : attempts) {
        file << attempt.operation << " " << attempt.number << " " << attempt.entry << " "
             << attempt.service << " " << attempt.isUnrepeatable << " " << attempt.sentUs << " "
             << attempt.doneUs << " " << attempt.status << " " << attempt.executionStatus << " "
             << attempt.reason << " " << attempt.respondedRequestId << "\n";
    }
    if (!file)
        throw std::runtime_error("can't write " + path);
}

std::vector<Attempt> readHistory(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    std::vector<Attempt> attempts;
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        Attempt attempt;
        fields >> attempt.operation >> attempt.number >> attempt.entry >> attempt.service
            >> attempt.isUnrepeatable >> attempt.sentUs >> attempt.doneUs >> attempt.status
            >> attempt.executionStatus >> attempt.reason >> attempt.respondedRequestId;
        if (!fields)
            throw std::runtime_error(
                std::string("malformed line in ").append(path).append(": ").append(line));
        attempts.push_back(std::move(attempt));
    }
    return attempts;
}

} // namespace load
