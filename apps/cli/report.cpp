#include "report.h"

#include <iomanip>
#include <iostream>

namespace cli {

using web::json::value;

namespace {

constexpr int kNameWidth = 18;
constexpr int kNumberWidth = 9;

std::string textOf(const value &json, const std::string &key)
{
    if (!json.has_field(key))
        return "-";
    const value &member = json.at(key);
    return member.is_string() ? member.as_string() : member.serialize();
}

void printNames(const value &patch, const std::string &key, const std::string &label)
{
    if (!patch.has_array_field(key) || patch.at(key).size() == 0)
        return;
    std::cout << "  " << label << ":";
    for (const value &item : patch.at(key).as_array())
        std::cout << " " << (item.is_string() ? item.as_string() : textOf(item, "id"));
    std::cout << "\n";
}

void printPatch(const value &patch)
{
    printNames(patch, "hosts", "hosts set");
    printNames(patch, "removedHosts", "hosts removed");
    printNames(patch, "pools", "pools set");
    printNames(patch, "removedPools", "pools removed");
    printNames(patch, "services", "services set");
    printNames(patch, "removedServices", "services removed");
    if (patch.has_field("wave"))
        std::cout << "  wave rule set\n";
}

} // namespace

void printStatus(const value &body)
{
    std::cout << "configuration " << textOf(body, "version") << ", log " << textOf(body, "sequence")
              << ", seen from " << textOf(body, "entry") << " (view " << textOf(body, "viewAgeMs")
              << " ms old)\n\n";
    std::cout << std::left << std::setw(kNameWidth) << "POOL" << std::setw(kNumberWidth) << "HOSTS"
              << std::setw(kNumberWidth) << "SERVING" << std::setw(kNumberWidth) << "MINIMUM"
              << "WAVE\n";
    for (const value &pool : body.at("pools").as_array()) {
        const value states = pool.has_field("states") ? pool.at("states") : value::object();
        std::cout << std::setw(kNameWidth) << textOf(pool, "id") << std::setw(kNumberWidth)
                  << textOf(pool, "hosts") << std::setw(kNumberWidth)
                  << (states.has_field("serving") ? textOf(states, "serving") : "0")
                  << std::setw(kNumberWidth) << textOf(pool, "minAvailable");
        if (pool.has_field("wave"))
            std::cout << textOf(pool.at("wave"), "status") << " ("
                      << textOf(pool.at("wave"), "reason") << ")";
        std::cout << "\n";
    }
    std::cout << "\n"
              << std::setw(kNameWidth) << "ENTRY HOST" << std::setw(kNumberWidth) << "ZONE"
              << std::setw(kNumberWidth) << "VERSION"
              << "LOG\n";
    for (const value &member : body.at("entryHosts").as_array()) {
        std::cout << std::setw(kNameWidth) << textOf(member, "id") << std::setw(kNumberWidth)
                  << textOf(member, "zone") << std::setw(kNumberWidth) << textOf(member, "version")
                  << textOf(member, "acknowledged")
                  << (member.at("leaving").as_bool() ? " leaving" : "") << "\n";
    }
    for (const value &entryHost : body.at("notYetAdopted").as_array())
        std::cout << "not yet adopted by " << entryHost.as_string() << "\n";
}

void printPlan(const value &body)
{
    if (body.at("steps").size() == 0)
        std::cout << "nothing to do\n";
    for (const value &step : body.at("steps").as_array()) {
        std::cout << std::left << std::setw(kNameWidth) << textOf(step, "host")
                  << std::setw(kNameWidth) << textOf(step, "pool") << std::setw(kNumberWidth + 2)
                  << textOf(step, "state") << std::setw(kNumberWidth) << textOf(step, "disruption");
        if (step.has_field("target"))
            std::cout << "to " << textOf(step, "target") << " ";
        if (step.has_field("waiting"))
            std::cout << textOf(step, "waiting");
        std::cout << "\n";
    }
}

void printChange(const value &body)
{
    std::cout << "changed: " << textOf(body, "changed") << "\n";
    if (body.has_field("version"))
        std::cout << "version: " << textOf(body, "version") << "\n";
    if (body.has_field("difference"))
        printPatch(body.at("difference"));
}

void printExplanation(const value &body)
{
    if (body.has_field("record"))
        std::cout << body.at("record").serialize() << "\n";
    if (body.has_field("pool"))
        std::cout << body.at("pool").serialize() << "\n";
    if (body.has_field("waiting"))
        std::cout << "waiting: " << textOf(body, "waiting") << "\n";
    for (const value &decision : body.at("decisions").as_array()) {
        std::cout << std::left << std::setw(kNumberWidth) << textOf(decision, "sequence")
                  << std::setw(kNameWidth) << textOf(decision, "actor")
                  << textOf(decision, "reason") << "\n";
    }
}

void printRequest(const value &body)
{
    std::cout << body.serialize() << "\n";
}

void printProblem(const value &body)
{
    std::cerr << textOf(body, "error") << " (changed: " << textOf(body, "changed") << ")\n";
    if (body.has_field("findings")) {
        for (const value &finding : body.at("findings").as_array()) {
            std::cerr << "  " << textOf(finding, "file") << ":" << textOf(finding, "place") << ": "
                      << textOf(finding, "problem") << "; expected " << textOf(finding, "expected")
                      << "\n";
        }
    }
    if (body.has_field("difference")) {
        std::cerr << "  the version in force is " << textOf(body, "version")
                  << "; applied to it, the documents would change:\n";
        printPatch(body.at("difference"));
    }
}

} // namespace cli
