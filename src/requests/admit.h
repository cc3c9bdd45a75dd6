#pragma once

#include "pistachiospur/objects.h"
#include "pistachiospur/request.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

// The entry's first filter: turns what a caller sent into a checked request, or refuses it before it costs anything.
namespace pistachiospur {

// What the HTTP server delivers.
struct CallerRequest {
    std::string method;
    std::string target; // path and query, escaped
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool tooLarge = false;
};

struct AdmitPolicy {
    Millis defaultDeadline;
};

using Admitted = std::variant<Request, Refusal>;

// The path is /SERVICE/KEY/REST for a keyed service and /SERVICE/REST for a pooled one. Headers understood:
// Idempotency-Key, Idempotency-Key-Time (ms since 1970), Request-Timeout (ms).
Admitted admit(const Configuration&, const AdmitPolicy&, CallerRequest, Millis now);

// An entry's view of how much of a rank's traffic to a service the coordinators can take. Falls when they refuse for
// want of room, and recovers as they answer.
struct RankBudget {
    double fraction = 1;
    double earned = 0;
};

constexpr double kBudgetFall = 0.9;
constexpr double kBudgetRise = 0.01;
constexpr double kBudgetLeast = 0.02;

using RankBudgets = std::map<std::pair<ServiceName, RankName>, RankBudget>;

// Whether to let the next request of the rank through.
bool spendBudget(RankBudget&);
// Takes in what came of a request that was let through.
void settleBudget(RankBudget&, const Reply&);

} // namespace pistachiospur
