#pragma once

#include "pistachiospur/objects.h"
#include "pistachiospur/request.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

// Admission on the host that received the request: turns a caller's HTTP request into a checked request, or refuses it
// before it uses any upstream's resources.
namespace pistachiospur {

// A request as received by the HTTP server.
struct CallerRequest {
    std::string method;
    std::string target; // path and query, percent-encoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool tooLarge = false; // the body exceeded the size limit
};

struct AdmitPolicy {
    Millis defaultDeadline; // for requests without a Request-Timeout header
};

using Admitted = std::variant<Request, Refusal>;

// Checks a caller's request. The path is /SERVICE/KEY/REST for a keyed service and /SERVICE/REST for a pooled one.
// Headers read: Idempotency-Key, Idempotency-Key-Time (ms since 1970), Request-Timeout (ms).
Admitted admit(const Configuration&, const AdmitPolicy&, CallerRequest, Millis now);

// Estimate, by the host that received the requests, of the fraction of a rank's requests to a service that the
// coordinators can accept. The fraction decreases multiplicatively when they refuse for lack of capacity and increases
// additively when they answer.
struct RankBudget {
    double fraction = 1;
    double credit = 0; // requests that may pass: each request adds `fraction`, each admission takes 1
};

constexpr double kBudgetDecreaseFactor = 0.9;
constexpr double kBudgetIncrease = 0.01;
constexpr double kMinBudgetFraction = 0.02;

using RankBudgets = std::map<std::pair<ServiceName, RankName>, RankBudget>;

// Returns true if the next request of the rank may pass. Call once for each request.
bool spendBudget(RankBudget&);
// Adjusts the fraction after the reply to a request that passed.
void adjustBudget(RankBudget&, const Reply&);

} // namespace pistachiospur
