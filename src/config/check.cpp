#include "check.h"

#include <xxhash.h>

#include <cstdio>

namespace pistachiospur {

namespace {

constexpr Bounds kRankOrderBounds { 0, 15 };
constexpr Bounds kTargetMsBounds { 1, 600000 };
constexpr Bounds kServiceSlotBounds { 1, 1 << 20 };
constexpr Bounds kUpstreamSlotBounds { 1, 1024 };
constexpr Bounds kConnectionBounds { 1, 65535 };
constexpr std::uint32_t kDefaultServiceSlots = 4096;

std::string label(const ObjectId& id) { return id.first + " " + id.second; }

Rank readRank(const ObjectId& id, FieldReader& reader)
{
    Rank rank;
    rank.name = id.second;
    rank.order = static_cast<RankOrder>(reader.integer("order", kRankOrderBounds));
    rank.target = Millis(reader.integer("target_ms", kTargetMsBounds));
    rank.objective = reader.fractionOr("objective", 0.99);
    rank.share = reader.fractionOr("share", 0.05);
    return rank;
}

Route readRoute(const Json& object, const ObjectId& id, std::vector<FieldError>& errors)
{
    FieldReader reader(object, label(id) + " route", errors);
    Route route;
    route.method = reader.textOr("method", "*");
    route.path = reader.textOr("path", "/");
    route.rank = reader.text("rank");
    route.idempotent = reader.flagOr("idempotent", false);
    reader.refuseUnknownFields();
    return route;
}

Service readService(const ObjectId& id, FieldReader& reader, std::vector<FieldError>& errors)
{
    Service service;
    service.name = id.second;
    service.mode
        = reader.oneOf("mode", { "keyed", "pooled" }, "keyed") == "keyed" ? ServiceMode::keyed : ServiceMode::pooled;
    service.slots = static_cast<std::uint32_t>(reader.integerOr("slots", kServiceSlotBounds, kDefaultServiceSlots));
    for (const auto& it : reader.objects("routes", 1))
        service.routes.push_back(readRoute(it, id, errors));
    return service;
}

Upstream readUpstream(const ObjectId& id, FieldReader& reader)
{
    Upstream upstream;
    upstream.name = id.second;
    upstream.dataCentre = reader.text("data_centre");
    upstream.endpoint = reader.endpoint("endpoint");
    upstream.slots = static_cast<std::uint32_t>(reader.integerOr("slots", kUpstreamSlotBounds, 2));
    upstream.connections = static_cast<std::uint32_t>(reader.integerOr("connections", kConnectionBounds, 40));
    upstream.draining = reader.flagOr("draining", false);
    if (!reader.flagOr("checks_epochs", true))
        reader.addFault(FieldFault::outOfRange, "checks_epochs", "false",
            "true: only upstreams that check grants can be owners in this version");
    return upstream;
}

Placement readPlacement(const ObjectId& id, FieldReader& reader)
{
    Placement placement;
    placement.name = id.second;
    placement.service = reader.text("service");
    placement.upstreams = reader.texts("upstreams", 1);
    placement.dataCentres = reader.texts("data_centres", 0);
    placement.whenCutOff = reader.oneOf("when_cut_off", { "keep", "release" }, "keep") == "keep" ? WhenCutOff::keep
                                                                                                 : WhenCutOff::release;
    if (placement.whenCutOff == WhenCutOff::release)
        reader.addFault(
            FieldFault::outOfRange, "when_cut_off", "\"release\"", "keep; release is not supported in this version");
    return placement;
}

void readObject(const ObjectId& id, const Json& object, Configuration& configuration, std::vector<FieldError>& errors)
{
    FieldReader reader(object, label(id), errors);
    reader.markKnown("kind");
    reader.markKnown("name");
    if (id.first == "rank")
        configuration.ranks[id.second] = readRank(id, reader);
    else if (id.first == "service")
        configuration.services[id.second] = readService(id, reader, errors);
    else if (id.first == "upstream")
        configuration.upstreams[id.second] = readUpstream(id, reader);
    else
        configuration.placements[id.second] = readPlacement(id, reader);
    reader.refuseUnknownFields();
}

class ReferenceChecker {
public:
    ReferenceChecker(const Configuration& configuration, std::vector<FieldError>& errors)
        : m_configuration(configuration)
        , m_errors(errors)
    {
    }

    void run()
    {
        for (const auto& [name, service] : m_configuration.services) {
            for (const auto& it : service.routes)
                requireExisting(m_configuration.ranks, "service " + name, "rank", it.rank);
        }
        for (const auto& [name, placement] : m_configuration.placements)
            checkPlacement(name, placement);
        checkRankOrders();
    }

private:
    template <typename Objects>
    void requireExisting(
        const Objects& objects, const std::string& referrer, const char* field, const std::string& name)
    {
        if (!name.empty() && !objects.count(name))
            m_errors.push_back(
                { FieldFault::unknownReference, referrer, field, Json(name).dump(), "the name of an existing object" });
    }

    // A service has at most one placement. An upstream belongs to at most one service, so that it has a single grant,
    // queue and coordinator.
    void checkPlacement(const std::string& name, const Placement& placement)
    {
        const std::string referrer = "placement " + name;
        requireExisting(m_configuration.services, referrer, "service", placement.service);
        requireUnused(m_placementsByService, placement.service, referrer, "service");
        for (const auto& upstream : placement.upstreams) {
            requireExisting(m_configuration.upstreams, referrer, "upstreams", upstream);
            requireUnused(m_placementsByUpstream, upstream, referrer, "upstreams");
        }
    }

    // Records that `referrer` uses a value. Reports a conflict if another object already uses it.
    void requireUnused(std::map<std::string, std::string>& referrersByValue, const std::string& value,
        const std::string& referrer, const char* field)
    {
        const auto [it, inserted] = referrersByValue.emplace(value, referrer);
        if (!inserted)
            m_errors.push_back({ FieldFault::conflict, referrer, field, Json(value).dump(),
                "a value that " + it->second + " does not use" });
    }

    void checkRankOrders()
    {
        std::map<std::string, std::string> ranksByOrder;
        double shares = 0;
        for (const auto& [name, rank] : m_configuration.ranks) {
            requireUnused(ranksByOrder, std::to_string(rank.order), "rank " + name, "order");
            shares += rank.share;
        }
        if (shares > 1)
            m_errors.push_back(
                { FieldFault::conflict, "ranks", "share", std::to_string(shares), "a sum of at most 1" });
    }

    const Configuration& m_configuration;
    std::vector<FieldError>& m_errors;
    std::map<std::string, std::string> m_placementsByService;
    std::map<std::string, std::string> m_placementsByUpstream;
};

} // namespace

ObjectSet readObjects(const std::string& text, const std::string& name, std::vector<FieldError>& errors)
{
    ObjectSet objects;
    const auto document = parseDocument(text, name, errors);
    if (!document)
        return objects;
    FieldReader reader(*document, name, errors);
    for (const auto& object : reader.objects("objects", 1)) {
        FieldReader objectReader(object, name, errors);
        const std::string kind = objectReader.oneOf("kind", { "rank", "service", "upstream", "placement" }, "");
        const std::string objectName = objectReader.text("name");
        if (!objects.emplace(ObjectId { kind, objectName }, object).second)
            objectReader.addFault(
                FieldFault::duplicateName, "name", Json(objectName).dump(), "one " + kind + " per name");
    }
    reader.refuseUnknownFields();
    return objects;
}

Configuration checkObjects(const ObjectSet& objects, std::vector<FieldError>& errors)
{
    Configuration configuration;
    for (const auto& [id, object] : objects)
        readObject(id, object, configuration, errors);
    ReferenceChecker(configuration, errors).run();
    return configuration;
}

void putObject(Configuration& configuration, const ObjectId& id, const Json& object)
{
    if (!object.is_null()) {
        std::vector<FieldError> ignored;
        readObject(id, object, configuration, ignored);
    } else if (id.first == "rank") {
        configuration.ranks.erase(id.second);
    } else if (id.first == "service") {
        configuration.services.erase(id.second);
    } else if (id.first == "upstream") {
        configuration.upstreams.erase(id.second);
    } else {
        configuration.placements.erase(id.second);
    }
}

std::uint64_t digestOf(const ObjectId& id, const Json& object)
{
    const std::string text = label(id) + object.dump();
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t digestOf(const ObjectSet& objects)
{
    std::uint64_t digest = 0;
    for (const auto& [id, object] : objects)
        digest ^= digestOf(id, object);
    return digest;
}

std::string digestText(std::uint64_t digest)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(digest));
    return buf;
}

const Route* findRoute(const Service& service, const std::string& method, const std::string& path)
{
    for (const auto& it : service.routes) {
        if ((it.method == "*" || it.method == method) && path.compare(0, it.path.size(), it.path) == 0)
            return &it;
    }
    return nullptr;
}

const Placement* placementOf(const Configuration& configuration, const ServiceName& service)
{
    for (const auto& [name, it] : configuration.placements) {
        if (it.service == service)
            return &it;
    }
    return nullptr;
}

std::vector<UpstreamName> eligibleUpstreams(const Configuration& configuration, const Placement& placement)
{
    std::vector<UpstreamName> names;
    for (const auto& name : placement.upstreams) {
        const auto found = configuration.upstreams.find(name);
        if (found == configuration.upstreams.end() || found->second.draining)
            continue;
        const auto& centres = placement.dataCentres;
        if (centres.empty() || std::find(centres.begin(), centres.end(), found->second.dataCentre) != centres.end())
            names.push_back(name);
    }
    return names;
}

} // namespace pistachiospur
