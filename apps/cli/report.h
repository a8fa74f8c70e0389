#pragma once

#include <cpprest/json.h>

namespace cli {

/// These functions print the body of an entry host's response as human-readable text.
void printStatus(const web::json::value &body);
void printPlan(const web::json::value &body);
void printChange(const web::json::value &body);
void printExplanation(const web::json::value &body);
void printRequest(const web::json::value &body);
/// Prints the body of an error response, with all its findings, to standard error.
void printProblem(const web::json::value &body);

} // namespace cli
