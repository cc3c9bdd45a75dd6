#include "report.h"

#include "observe/burn.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <tuple>

namespace pistachiospur {

std::vector<BurnRow> sumBurn(const std::vector<Json>& pages)
{
    std::map<std::pair<std::string, std::string>, std::pair<BurnRow, std::vector<BurnCounts>>> sums;
    for (const auto& page : pages) {
        for (const auto& entry : page.at("rows")) {
            auto& [row, counts] = sums[{ entry.at("service"), entry.at("rank") }];
            counts.resize(kBurnWindows.size());
            row.service = entry.at("service");
            row.rank = entry.at("rank");
            row.order = entry.at("order");
            row.targetMs = entry.at("target_ms");
            row.objective = entry.at("objective");
            row.good += entry.at("good").get<std::uint64_t>();
            row.bad += entry.at("bad").get<std::uint64_t>();
            for (std::size_t n = 0; n < kBurnWindows.size(); ++n) {
                const auto& window = entry.at("windows").at(kBurnWindows[n].name);
                counts[n].good += window.at("good").get<std::uint64_t>();
                counts[n].bad += window.at("bad").get<std::uint64_t>();
            }
        }
    }
    std::vector<BurnRow> rows;
    for (auto& [key, sum] : sums) {
        for (const auto& it : sum.second)
            sum.first.rates.push_back(burnRate(it, sum.first.objective));
        rows.push_back(sum.first);
    }
    std::sort(rows.begin(), rows.end(),
        [](const BurnRow& a, const BurnRow& b) { return std::tie(a.order, a.service) < std::tie(b.order, b.service); });
    return rows;
}

std::string burnVerdict(const BurnRow& row)
{
    if (row.rates[0] >= kFastBurnRate && row.rates[1] >= kFastBurnRate)
        return "page";
    if (row.rates[2] >= kSlowBurnRate && row.rates[3] >= kSlowBurnRate)
        return "ticket";
    return "ok";
}

std::string burnTable(const std::vector<BurnRow>& rows)
{
    char buf[256];
    std::snprintf(buf, sizeof buf, "%-14s %-12s %9s %9s %8s %8s %8s %8s %8s %8s  %s\n", "service", "rank", "target",
        "objective", "good", "bad", "5m", "1h", "30m", "6h", "verdict");
    std::string table = buf;
    for (const auto& it : rows) {
        std::snprintf(buf, sizeof buf, "%-14s %-12s %6lld ms %9.5f %8llu %8llu %8.2f %8.2f %8.2f %8.2f  %s\n",
            it.service.c_str(), it.rank.c_str(), static_cast<long long>(it.targetMs), it.objective,
            static_cast<unsigned long long>(it.good), static_cast<unsigned long long>(it.bad), it.rates[0], it.rates[1],
            it.rates[2], it.rates[3], burnVerdict(it).c_str());
        table += buf;
    }
    return table;
}

Json burnJson(const std::vector<BurnRow>& rows)
{
    Json list = Json::array();
    for (const auto& it : rows) {
        Json rates = Json::object();
        for (std::size_t n = 0; n < kBurnWindows.size(); ++n)
            rates[kBurnWindows[n].name] = it.rates[n];
        list.push_back({ { "service", it.service }, { "rank", it.rank }, { "target_ms", it.targetMs },
            { "objective", it.objective }, { "good", it.good }, { "bad", it.bad }, { "burn_rates", rates },
            { "verdict", burnVerdict(it) } });
    }
    return { { "rows", list } };
}

namespace {

std::string escapeHtml(const std::string& text)
{
    std::string out;
    for (const char it : text)
        out += it == '<' ? "&lt;"
            : it == '>'  ? "&gt;"
            : it == '&'  ? "&amp;"
            : it == '"'  ? "&quot;"
                         : std::string(1, it);
    return out;
}

// An SVG image with one bar per window. The vertical line marks the burn rate at which the window alerts.
std::string burnBars(const BurnRow& row)
{
    constexpr double kMaxBarPx = 360, kPxPerRate = kMaxBarPx / 20;
    std::string svg = "<svg width='420' height='84' role='img'>";
    char buf[320];
    for (std::size_t n = 0; n < kBurnWindows.size(); ++n) {
        const double y = 4 + 20.0 * static_cast<double>(n), threshold = n < 2 ? kFastBurnRate : kSlowBurnRate;
        std::snprintf(buf, sizeof buf,
            "<text x='0' y='%.0f' font-size='11'>%s</text><rect x='34' y='%.0f' width='%.1f' height='12' fill='%s'/>"
            "<line x1='%.1f' x2='%.1f' y1='%.0f' y2='%.0f' stroke='#a00'/>",
            y + 10, kBurnWindows[n].name, y, std::min(kMaxBarPx, row.rates[n] * kPxPerRate),
            row.rates[n] >= threshold ? "#c33" : "#48a", 34 + threshold * kPxPerRate, 34 + threshold * kPxPerRate,
            y - 2, y + 14);
        svg += buf;
    }
    return svg + "</svg>";
}

} // namespace

std::string burnHtml(const std::vector<BurnRow>& rows)
{
    std::string html = "<!doctype html><meta charset='utf-8'><title>Service-level burn</title>"
                       "<style>body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;text-align:left;"
                       "border-bottom:1px solid #ddd}</style><h1>Service-level burn</h1><table>"
                       "<tr><th>service<th>rank<th>target<th>objective<th>good<th>bad<th>verdict<th>burn rates</tr>";
    char buf[200];
    for (const auto& it : rows) {
        std::snprintf(buf, sizeof buf, "<td>%lld ms<td>%.5f<td>%llu<td>%llu<td>%s<td>",
            static_cast<long long>(it.targetMs), it.objective, static_cast<unsigned long long>(it.good),
            static_cast<unsigned long long>(it.bad), burnVerdict(it).c_str());
        html += "<tr><td>" + escapeHtml(it.service) + "<td>" + escapeHtml(it.rank) + buf + burnBars(it) + "</tr>";
    }
    return html + "</table>\n";
}

} // namespace pistachiospur
