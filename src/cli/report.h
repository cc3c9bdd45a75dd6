#pragma once

#include "config/fields.h"

#include <string>
#include <vector>

// Error-budget burn rates summed over all hosts, as a table, JSON or a self-contained HTML page.
namespace pistachiospur {

struct BurnRow {
    std::string service;
    std::string rank;
    int order = 0; // of the rank; 0 is the most urgent
    std::int64_t targetMs = 0;
    double objective = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::vector<double> rates; // in the order of kBurnWindows
};

// Sums the hosts' /burn pages. Rows are sorted by rank, the most urgent first, then by service.
std::vector<BurnRow> sumBurn(const std::vector<Json>& pages);
// "page" if both fast-burn windows reach their threshold, else "ticket" if both slow-burn windows do, else "ok".
std::string burnVerdict(const BurnRow&);
std::string burnTable(const std::vector<BurnRow>&);
Json burnJson(const std::vector<BurnRow>&);
std::string burnHtml(const std::vector<BurnRow>&);

} // namespace pistachiospur
