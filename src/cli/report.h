#pragma once

#include "config/fields.h"

#include <string>
#include <vector>

// Service-level burn over all hosts, as a table, JSON or a self-contained HTML page.
namespace pistachiospur {

struct BurnRow {
    std::string service;
    std::string rank;
    int order = 0;
    std::int64_t targetMs = 0;
    double objective = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::vector<double> rates; // in the order of kBurnWindows
};

// Adds up the hosts' pages; rows by urgency, then service.
std::vector<BurnRow> sumBurn(const std::vector<Json>& pages);
// "page" when the fast pair of windows alerts, "ticket" when the slow pair does, else "ok".
std::string burnVerdict(const BurnRow&);
std::string burnTable(const std::vector<BurnRow>&);
Json burnJson(const std::vector<BurnRow>&);
std::string burnHtml(const std::vector<BurnRow>&);

} // namespace pistachiospur
