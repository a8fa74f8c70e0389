#pragma once

#include <cpprest/json.h>

namespace cli {

/// Each prints an entry host's answer as text for people.
void printStatus(const web::json::value &body);
void printPlan(const web::json::value &body);
void printChange(const web::json::value &body);
void printExplanation(const web::json::value &body);
void printRequest(const web::json::value &body);
/// Prints an answer that is not a success, with all its findings, to standard error.
void printProblem(const web::json::value &body);

} // namespace cli
