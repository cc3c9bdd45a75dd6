#pragma once

#include "config/fields.h"

#include <cstdint>
#include <string>
#include <vector>

// Runs the placement and queueing functions on fixed seeds in virtual time. The signature is a hash of their decisions
// and of nothing else, so two builds with equal signatures made the same decisions.
namespace pistachiospur {

struct RankOutcome {
    std::string rank;
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t late = 0; // answered after the deadline, or dropped because it could not be met
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
