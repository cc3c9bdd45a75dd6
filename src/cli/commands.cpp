#include "commands.h"

#include "bench.h"
#include "config/settings.h"
#include "io/json.h"
#include "report.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <iostream>
#include <random>

namespace pistachiospur {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kHistoryRecordsShown = 20;

// Unique id of one change. If the answer to its publication is lost, the id in the store shows whether it took effect.
std::string newChangeId()
{
    std::random_device randomDevice;
    char buf[40];
    std::snprintf(buf, sizeof buf, "%llx-%08x%08x", static_cast<unsigned long long>(wallNow().count()), randomDevice(),
        randomDevice());
    return buf;
}

void print(const CommandContext& context, const Json& json, const std::string& text)
{
    std::cout << (context.output == OutputFormat::text ? text : json.dump(2) + "\n");
}

std::string label(const ObjectId& id) { return id.first + " " + id.second; }

leaf::result<ObjectSet> loadObjects(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    std::vector<FieldError> errors;
    ObjectSet objects = readObjects(text, path, errors);
    if (errors.empty())
        checkObjects(objects, errors);
    if (!errors.empty())
        return leaf::new_error(DocumentError { errors });
    return objects;
}

CommandResult check(CommandContext& context)
{
    BOOST_LEAF_AUTO(objects, loadObjects(context.arguments[0]));
    const std::string digest = digestText(digestOf(objects));
    print(context, { { "objects", objects.size() }, { "digest", digest } },
        std::to_string(objects.size()) + " objects, digest " + digest + ": no faults\n");
    return ExitStatus::ok;
}

const char* changeKind(const PublishedConfiguration& base, const ObjectId& id, const Json& object)
{
    return object.is_null() ? "remove" : base.objects.count(id) ? "change" : "add";
}

// Returns the changes as JSON and appends them to `text`, one line per change and per changed field.
Json describeChanges(const PublishedConfiguration& base, const ChangeSet& changes, std::string& text)
{
    Json list = Json::array();
    for (const auto& [id, object] : changes) {
        const char* kind = changeKind(base, id, object);
        list.push_back({ { "change", kind }, { "kind", id.first }, { "name", id.second } });
        text += std::string(kind) + " " + label(id) + "\n";
        const auto published = base.objects.find(id);
        if (object.is_null() || published == base.objects.end())
            continue;
        for (const auto& it : Json::diff(published->second, object))
            text += "  " + it.at("op").get<std::string>() + " " + it.at("path").get<std::string>()
                + (it.contains("value") ? " " + it["value"].dump() : "") + "\n";
    }
    return list;
}

CommandResult diff(CommandContext& context)
{
    BOOST_LEAF_AUTO(objects, loadObjects(context.arguments[0]));
    BOOST_LEAF_AUTO(base, context.client.readConfiguration());
    std::string text = "compared with revision " + std::to_string(base.head.revision.value) + ":\n";
    const Json list = describeChanges(base, changesBetween(base.objects, objects), text);
    if (list.empty())
        text += "no differences\n";
    print(context, { { "revision", base.head.revision.value }, { "changes", list } }, text);
    return ExitStatus::ok;
}

leaf::result<ExitStatus> publishChanges(
    CommandContext& context, const PublishedConfiguration& base, const ChangeSet& changes)
{
    if (context.basedOn && *context.basedOn != base.head.revision)
        return leaf::new_error(RevisionConflict { *context.basedOn, base.head.revision });
    if (changes.empty()) {
        print(context, { { "revision", base.head.revision.value }, { "changes", Json::array() } },
            "no differences; still at revision " + std::to_string(base.head.revision.value) + "\n");
        return ExitStatus::ok;
    }
    const std::string changeId = newChangeId();
    std::string text;
    const Json list = describeChanges(base, changes, text);
    BOOST_LEAF_AUTO(revision, context.client.publish(base, changes, changeId));
    print(context, { { "revision", revision.value }, { "change_id", changeId }, { "changes", list } },
        text + "published as revision " + std::to_string(revision.value) + ", change " + changeId + "\n");
    return ExitStatus::ok;
}

CommandResult apply(CommandContext& context)
{
    BOOST_LEAF_AUTO(objects, loadObjects(context.arguments[0]));
    BOOST_LEAF_AUTO(base, context.client.readConfiguration());
    return publishChanges(context, base, changesBetween(base.objects, objects));
}

CommandResult get(CommandContext& context)
{
    BOOST_LEAF_AUTO(base, context.client.readConfiguration());
    Json objects = Json::array();
    for (const auto& [id, object] : base.objects) {
        const auto& wanted = context.arguments;
        if ((wanted.empty() || wanted[0] == id.first) && (wanted.size() < 2 || wanted[1] == id.second))
            objects.push_back(object);
    }
    if (objects.empty() && context.arguments.size() == 2)
        return leaf::new_error(NotFoundError { context.arguments[0], context.arguments[1] });
    std::cout << Json { { "revision", base.head.revision.value }, { "objects", objects } }.dump(2) << "\n";
    return ExitStatus::ok;
}

leaf::result<ExitStatus> editObject(CommandContext& context, const ObjectId& id, const Json& patch)
{
    BOOST_LEAF_AUTO(base, context.client.readConfiguration());
    const auto it = base.objects.find(id);
    if (it == base.objects.end())
        return leaf::new_error(NotFoundError { id.first, id.second });
    Json object = it->second;
    object.merge_patch(patch);
    return publishChanges(context, base, object == it->second ? ChangeSet {} : ChangeSet { { id, object } });
}

CommandResult edit(CommandContext& context)
{
    const auto& arguments = context.arguments;
    Json patch = Json::object();
    for (std::size_t n = 2; n < arguments.size(); ++n) {
        const auto equals = arguments[n].find('=');
        const Json value
            = equals == std::string::npos ? Json(Json::value_t::discarded) : parseJson(arguments[n].substr(equals + 1));
        if (value.is_discarded())
            return leaf::new_error(UsageError { "edit", arguments[n] + " is not FIELD=JSON" });
        patch[arguments[n].substr(0, equals)] = value;
    }
    return editObject(context, { arguments[0], arguments[1] }, patch);
}

CommandResult history(CommandContext& context)
{
    BOOST_LEAF_AUTO(changes, context.client.readHistory(kHistoryRecordsShown));
    std::string text;
    for (const auto& it : changes) {
        text += "revision " + std::to_string(it.value("revision", 0)) + "  " + it.value("change_id", "") + " ";
        for (const auto& change : it.value("changes", Json::array()))
            text += " " + change.value("kind", "") + "/" + change.value("name", "");
        text += "\n";
    }
    print(context, { { "changes", changes } }, text);
    return ExitStatus::ok;
}

std::string statusText(const Json& page)
{
    std::string text = page.at("host").get<std::string>() + ": configuration revision "
        + page.at("config_revision").dump() + ", store revision " + page.at("store_revision").dump() + ", "
        + page.at("pending").dump() + " requests pending\n";
    for (const auto& it : page.at("hosts"))
        text += "  host " + it.at("host").get<std::string>() + " in " + it.at("data_centre").get<std::string>() + ": "
            + it.at("state").get<std::string>() + "\n";
    return text;
}

CommandResult status(CommandContext& context)
{
    const auto pages = context.client.readFromAllHosts("/status");
    Json hosts = Json::array();
    std::map<std::string, std::string> coordinators;
    std::string text;
    const Json* newest = nullptr; // the page with the highest store revision
    for (const auto& [endpoint, page] : pages) {
        if (!page) {
            text += endpoint.text() + ": no answer\n";
            hosts.push_back({ { "endpoint", endpoint.text() }, { "answered", false } });
            continue;
        }
        text += statusText(*page);
        hosts.push_back(*page);
        for (const auto& it : page->at("upstreams")) {
            if (it.at("coordinated_here").get<bool>())
                coordinators[it.at("upstream")] = page->at("host");
        }
        if (!newest || page->at("store_revision") > newest->at("store_revision"))
            newest = &*page;
    }
    if (!newest)
        return leaf::new_error(
            HostError { context.client.hosts().empty() ? Endpoint {} : context.client.hosts()[0], 0 });
    for (const auto& it : newest->at("upstreams"))
        text += "upstream " + it.at("upstream").get<std::string>() + ": " + it.at("state").get<std::string>()
            + (it.at("draining").get<bool>() ? ", draining" : "") + ", " + it.at("slots").dump()
            + " slots, coordinated by " + coordinators[it.at("upstream")] + "\n";
    print(context, { { "hosts", hosts }, { "coordinators", coordinators } }, text);
    return ExitStatus::ok;
}

std::string escapeQuery(const std::string& text)
{
    std::string out;
    char buf[4];
    for (const unsigned char it : text) {
        std::snprintf(buf, sizeof buf, "%%%02X", it);
        out += std::isalnum(it) ? std::string(1, static_cast<char>(it)) : buf;
    }
    return out;
}

CommandResult owner(CommandContext& context)
{
    const std::string path
        = "/owner?service=" + escapeQuery(context.arguments[0]) + "&key=" + escapeQuery(context.arguments[1]);
    for (const auto& [endpoint, page] : context.client.readFromAllHosts(path)) {
        if (!page)
            continue;
        const std::string name = page->at("owner").is_null() ? "nobody" : page->at("owner").get<std::string>();
        print(context, *page,
            name + " owns slot " + page->at("slot").dump() + " under epoch " + page->at("epoch").dump() + "\n");
        return ExitStatus::ok;
    }
    return leaf::new_error(NotFoundError { "answer from any host for service", context.arguments[0] });
}

CommandResult drain(CommandContext& context)
{
    const std::string& name = context.arguments[0];
    for (const auto& [endpoint, page] : context.client.readFromAllHosts("/status")) {
        if (!page || page->at("host") != name)
            continue;
        BOOST_LEAF_CHECK(context.client.callHost(endpoint, "POST", "/drain"));
        print(context, { { "draining", name } }, name + " drains and then stops\n");
        return ExitStatus::ok;
    }
    return editObject(context, { "upstream", name }, { { "draining", true } });
}

CommandResult report(CommandContext& context)
{
    if (context.arguments[0] != "burn")
        return leaf::new_error(UsageError { "report", "unknown report; the only report is burn" });
    std::vector<Json> pages;
    for (const auto& [endpoint, page] : context.client.readFromAllHosts("/burn")) {
        if (page)
            pages.push_back(*page);
        else
            std::cerr << "host " << endpoint.text() << " did not answer; the report leaves it out\n";
    }
    if (pages.empty())
        return leaf::new_error(
            HostError { context.client.hosts().empty() ? Endpoint {} : context.client.hosts()[0], 0 });
    const auto rows = sumBurn(pages);
    if (context.output == OutputFormat::html)
        std::cout << burnHtml(rows);
    else
        print(context, burnJson(rows), burnTable(rows));
    return ExitStatus::ok;
}

CommandResult bench(CommandContext& context)
{
    const BenchResult result = runBench();
    print(context, benchJson(result), benchTable(result));
    return ExitStatus::ok;
}

} // namespace

const std::vector<CommandInfo>& commandTable()
{
    static const std::vector<CommandInfo> table = {
        { "check", "FILE", "check a configuration file without publishing it", 1, 1, check },
        { "diff", "FILE", "show what applying a file would change", 1, 1, diff },
        { "apply", "FILE",
            "publish a file as the whole configuration; --based_on=N fails unless N is the current revision", 1, 1,
            apply },
        { "get", "[KIND [NAME]]", "print the published objects", 0, 2, get },
        { "edit", "KIND NAME FIELD=JSON...", "change fields of one object and publish", 3, 64, edit },
        { "history", "", "list the latest published changes", 0, 0, history },
        { "status", "", "show hosts, revisions, and upstreams with their coordinators", 0, 0, status },
        { "owner", "SERVICE KEY", "show which upstream owns a key", 2, 2, owner },
        { "drain", "UPSTREAM|HOST", "move an upstream's keys to other upstreams, or drain and stop a host", 1, 1,
            drain },
        { "report", "burn", "show error-budget burn rates by service and rank; --output=json or html", 1, 1, report },
        { "bench", "",
            "run the placement and queueing functions on fixed seeds and print the signature of their decisions", 0, 0,
            bench },
    };
    return table;
}

CommandResult runCommand(CommandContext& context, const std::string& name)
{
    for (const auto& it : commandTable()) {
        if (name != it.name)
            continue;
        if (context.arguments.size() < it.minArguments || context.arguments.size() > it.maxArguments)
            return leaf::new_error(
                UsageError { name, std::string("usage: pistachiospur ") + it.name + " " + it.arguments });
        return it.run(context);
    }
    return leaf::new_error(UsageError { name, "unknown command; pistachiospur help lists the commands" });
}

} // namespace pistachiospur
