#pragma once

#include "config/fields.h"

#include <cstdint>
#include <string>
#include <vector>

// Runs the decision functions on fixed seeds in virtual time. The signature depends on every decision made, and on
// nothing else, so two builds with one signature decide alike.
namespace pistachiospur {

struct RankOutcome {
    std::string rank;
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t late = 0; // served after the target or dropped for the deadline
    std::uint64_t refused = 0;
    double p50Ms = 0;
    double p99Ms = 0;
};

struct ScenarioOutcome {
    std::string scenario;
    std::string policy;
    std::vector<RankOutcome> ranks;
};

struct BenchResult {
    std::uint64_t signature = 0;
    std::vector<ScenarioOutcome> scenarios;
};

BenchResult runBench();
std::string benchTable(const BenchResult&);
Json benchJson(const BenchResult&);

} // namespace pistachiospur
