#include "bench.h"

#include "ownership/plan.h"
#include "ownership/recovery.h"
#include "requests/queue.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <xxhash.h>

namespace pistachiospur {

namespace {

constexpr std::uint64_t kSeed = 20040627;
// Requests that arrive earlier are not counted in the results.
constexpr Millis kWarmUp { 5000 };
// Requests arrive during this time.
constexpr Millis kArrivalTime { 65000 };
// Time after the last arrival in which the waiting and running requests finish.
constexpr Millis kFinishTime { 60000 };

// Running hash of the decisions.
class Signature {
public:
    void add(std::uint64_t n) { m_value = XXH64(&n, sizeof n, m_value); }
    std::uint64_t value() const { return m_value; }

private:
    XXH64_hash_t m_value = 0;
};

// Poisson traffic of one rank to the one upstream of a scenario.
struct Load {
    RankOrder order;
    const char* rank;
    double requestsPerSecond;
    double meanRunMs;
    Millis deadline;
};

struct Scenario {
    const char* name;
    std::vector<Load> loads;
    double slowdown = 1; // factor on every run time
};

constexpr unsigned kSlots = 2; // requests that the upstream runs at once

std::vector<Load> calmLoads()
{
    return { { 0, "booking", 8, 20, Millis(3000) }, { 1, "hold", 12, 20, Millis(6000) },
        { 2, "browse", 30, 15, Millis(1500) } };
}

// The floods offer ten times the upstream's capacity.
std::vector<Scenario> scenarios()
{
    std::vector<Scenario> list
        = { { "calm", calmLoads() }, { "lowest-rank flood", calmLoads() }, { "highest-rank flood", calmLoads() },
              { "slow upstream", calmLoads(), 3 }, { "flood of long runs", calmLoads() } };
    list[1].loads[2].requestsPerSecond = 10 * kSlots * 1000 / list[1].loads[2].meanRunMs;
    list[4].loads[2].meanRunMs = 150;
    list[4].loads[2].requestsPerSecond = 10 * kSlots * 1000 / list[4].loads[2].meanRunMs;
    list[2].loads[0].requestsPerSecond = 10 * kSlots * 1000 / list[2].loads[0].meanRunMs;
    return list;
}

// The policy under test and two baselines.
enum class Policy { rankShares, fifo, strictPriority };
constexpr const char* kPolicyNames[] = { "ours", "fifo", "strict" };

struct Arrival {
    Millis at;
    std::size_t load;
    double runMs;
};

std::vector<Arrival> arrivals(const Scenario& scenario, std::mt19937_64& random)
{
    std::vector<Arrival> list;
    for (std::size_t n = 0; n < scenario.loads.size(); ++n) {
        const Load& load = scenario.loads[n];
        std::exponential_distribution<double> gap(load.requestsPerSecond / 1000), run(1 / load.meanRunMs);
        double at = gap(random);
        while (at < static_cast<double>(kArrivalTime.count())) {
            list.push_back({ Millis(static_cast<std::int64_t>(at)), n, 1 + run(random) * scenario.slowdown });
            at += gap(random);
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return list;
}

// Runs one scenario through the queue of one upstream. The baselines use the same queue without the features under
// test: fifo puts all requests in one rank, strict priority gives every rank a share of zero.
class Experiment {
public:
    Experiment(const Scenario& scenario, Policy policy, Signature& signature)
        : m_scenario(scenario)
        , m_policy(policy)
        , m_signature(signature)
        , m_latencies(scenario.loads.size())
        , m_outcomes(scenario.loads.size())
    {
        m_queuePolicy.maxConcurrent = kSlots;
        // The one rank of fifo holds as many requests as the three ranks of the other policies together.
        m_queuePolicy.maxWaitingPerRank = policy == Policy::fifo ? 768 : 256;
        const double shares[] = { 0.1, 0.1, 0.1 };
        for (const auto& it : scenario.loads)
            m_queuePolicy.shares[orderOf(it)] = policy == Policy::rankShares ? shares[it.order] : 0;
    }

    ScenarioOutcome run(const std::vector<Arrival>& list)
    {
        for (std::size_t n = 0; n < list.size(); ++n) {
            runUntil(list, list[n].at);
            onArrival(list, n);
        }
        runUntil(list, kArrivalTime + kFinishTime);
        return summarize();
    }

private:
    RankOrder orderOf(const Load& load) const { return m_policy == Policy::fifo ? RankOrder(0) : load.order; }

    void onArrival(const std::vector<Arrival>& list, std::size_t n)
    {
        const Arrival& arrival = list[n];
        const Load& load = m_scenario.loads[arrival.load];
        if (isMeasured(arrival))
            ++m_outcomes[arrival.load].offered;
        const auto refusal
            = enqueue(m_queue, m_queuePolicy, { n, orderOf(load), arrival.at + load.deadline }, arrival.at);
        m_signature.add(n * 2 + refusal.has_value());
        if (refusal && isMeasured(arrival))
            ++m_outcomes[arrival.load].refused;
        startWaiting(list, arrival.at);
    }

    bool isMeasured(const Arrival& arrival) const { return arrival.at >= kWarmUp; }

    // Drops requests that are not expected to meet their deadline, then starts waiting ones in the free slots.
    void startWaiting(const std::vector<Arrival>& list, Millis now)
    {
        for (const auto& late : dropLate(m_queue, m_queuePolicy, now)) {
            if (isMeasured(list[late.id]))
                ++m_outcomes[list[late.id].load].late;
        }
        while (const auto next = startNext(m_queue, m_queuePolicy, now)) {
            const auto run = Millis(static_cast<std::int64_t>(list[next->id].runMs));
            m_running.push({ now + run, next->id, now });
        }
    }

    // Finishes every run that ends by a time, and starts waiting requests in the freed slots.
    void runUntil(const std::vector<Arrival>& list, Millis until)
    {
        while (!m_running.empty() && m_running.top().endsAt <= until) {
            const Running done = m_running.top();
            m_running.pop();
            const Arrival& arrival = list[done.id];
            const Load& load = m_scenario.loads[arrival.load];
            finishRun(m_queue, orderOf(load), done.endsAt - done.startedAt);
            m_signature.add(done.id);
            if (isMeasured(arrival)) {
                const Millis latency = done.endsAt - arrival.at;
                ++(latency <= load.deadline ? m_outcomes[arrival.load].served : m_outcomes[arrival.load].late);
                m_latencies[arrival.load].push_back(static_cast<double>(latency.count()));
            }
            startWaiting(list, done.endsAt);
        }
    }

    ScenarioOutcome summarize()
    {
        ScenarioOutcome outcome { m_scenario.name, kPolicyNames[static_cast<int>(m_policy)], {} };
        for (std::size_t n = 0; n < m_scenario.loads.size(); ++n) {
            auto& latencies = m_latencies[n];
            std::sort(latencies.begin(), latencies.end());
            RankOutcome rank = m_outcomes[n];
            rank.rank = m_scenario.loads[n].rank;
            if (!latencies.empty()) {
                rank.p50Ms = latencies[latencies.size() / 2];
                rank.p99Ms = latencies[latencies.size() * 99 / 100];
            }
            outcome.ranks.push_back(rank);
        }
        return outcome;
    }

    struct Running {
        Millis endsAt;
        std::uint64_t id;
        Millis startedAt;
        friend bool operator>(const Running& a, const Running& b)
        {
            return std::tie(a.endsAt, a.id) > std::tie(b.endsAt, b.id);
        }
    };

    const Scenario& m_scenario;
    Policy m_policy;
    Signature& m_signature;
    QueuePolicy m_queuePolicy;
    UpstreamQueue m_queue;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    std::vector<std::vector<double>> m_latencies; // in ms, per load
    std::vector<RankOutcome> m_outcomes;
};

// Places a service on 30 upstreams, removes upstreams one by one, and adds every planned move to the signature.
void addPlacementMoves(Signature& signature)
{
    OwnershipTable table;
    const ServiceName service = "atelier";
    std::vector<UpstreamName> targets;
    targets.reserve(30);
    for (int n = 0; n < 30; ++n)
        targets.push_back("atelier-" + std::to_string(10 + n));
    constexpr std::uint32_t slots = 4096;
    for (int round = 0; round < 4; ++round) {
        auto& records = table.services[service].slots;
        records.resize(slots);
        for (const auto& move : planMoves(table, service, { slots, targets })) {
            SlotRecord& record = records[move.slot.value];
            record.owner = table.names.indexOf(move.to);
            record.epoch = record.epoch.next();
            signature.add(std::uint64_t(move.slot.value) << 32 | record.owner.value);
        }
        targets.erase(targets.begin() + 3);
    }
}

} // namespace

BenchResult runBench()
{
    BenchResult result;
    Signature signature;
    addPlacementMoves(signature);
    for (const auto& scenario : scenarios()) {
        std::mt19937_64 random(kSeed);
        const auto list = arrivals(scenario, random);
        for (const Policy policy : { Policy::rankShares, Policy::fifo, Policy::strictPriority })
            result.scenarios.push_back(Experiment(scenario, policy, signature).run(list));
    }
    result.signature = signature.value();
    return result;
}

std::string benchTable(const BenchResult& result)
{
    char buf[200];
    std::snprintf(buf, sizeof buf, "%-19s %-7s %-8s %8s %8s %8s %8s %8s %8s\n", "scenario", "policy", "rank", "offered",
        "served", "late", "refused", "p50 ms", "p99 ms");
    std::string table = buf;
    for (const auto& scenario : result.scenarios) {
        for (const auto& it : scenario.ranks) {
            std::snprintf(buf, sizeof buf, "%-19s %-7s %-8s %8llu %8llu %8llu %8llu %8.0f %8.0f\n",
                scenario.scenario.c_str(), scenario.policy.c_str(), it.rank.c_str(),
                static_cast<unsigned long long>(it.offered), static_cast<unsigned long long>(it.served),
                static_cast<unsigned long long>(it.late), static_cast<unsigned long long>(it.refused), it.p50Ms,
                it.p99Ms);
            table += buf;
        }
    }
    std::snprintf(buf, sizeof buf, "signature %016llx\n", static_cast<unsigned long long>(result.signature));
    return table + buf;
}

Json benchJson(const BenchResult& result)
{
    Json list = Json::array();
    for (const auto& scenario : result.scenarios) {
        for (const auto& it : scenario.ranks)
            list.push_back({ { "scenario", scenario.scenario }, { "policy", scenario.policy }, { "rank", it.rank },
                { "offered", it.offered }, { "served", it.served }, { "late", it.late }, { "refused", it.refused },
                { "p50_ms", it.p50Ms }, { "p99_ms", it.p99Ms } });
    }
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(result.signature));
    return { { "signature", buf }, { "rows", list } };
}

} // namespace pistachiospur
