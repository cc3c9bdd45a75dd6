#include "publish.h"

#include "io/json.h"

#include <cstdio>

namespace pistachiospur {

namespace {

constexpr const char* kHeadKey = "config/head";
constexpr const char* kObjectsPrefix = "config/objects/";
// The head, the new history entry and the removal of the oldest history entry take one operation each.
constexpr std::size_t kMaxChangedObjects = kMaxWriteOperations - 3;

Json encodeChanges(const ChangeSet& changes)
{
    Json list = Json::array();
    for (const auto& [id, object] : changes)
        list.push_back({ { "kind", id.first }, { "name", id.second }, { "object", object } });
    return list;
}

} // namespace

std::string headKey() { return kHeadKey; }

std::string objectKey(const ObjectId& id) { return kObjectsPrefix + id.first + "/" + id.second; }

std::optional<ObjectId> objectIdOf(const std::string& key)
{
    const std::string prefix = kObjectsPrefix;
    if (key.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    const auto slash = key.find('/', prefix.size());
    if (slash == std::string::npos)
        return std::nullopt;
    return ObjectId { key.substr(prefix.size(), slash - prefix.size()), key.substr(slash + 1) };
}

std::string historyKey(Revision revision)
{
    char buf[24];
    std::snprintf(buf, sizeof buf, "%012llu", static_cast<unsigned long long>(revision.value));
    return buf;
}

std::string encodeHead(const ConfigHead& head)
{
    return Json {
        { "revision", head.revision.value }, { "change_id", head.changeId }, { "digest", head.digest },
        { "published_at_ms", head.publishedAt.count() }
    }.dump();
}

std::optional<ConfigHead> decodeHead(const std::string& text, StoreRevision version)
{
    const Json object = parseJson(text);
    if (!object.is_object() || !object.value("revision", Json()).is_number_unsigned()
        || !object.value("digest", Json()).is_string() || !object.value("change_id", Json()).is_string())
        return std::nullopt;
    ConfigHead head;
    head.revision = Revision { object["revision"].get<std::uint64_t>() };
    head.changeId = object["change_id"];
    head.digest = object["digest"];
    head.publishedAt = Millis(object.value("published_at_ms", std::int64_t(0)));
    head.version = version;
    return head;
}

PublishedConfiguration decodePublished(const std::map<std::string, StoredValue>& values)
{
    PublishedConfiguration published;
    for (const auto& [key, value] : values) {
        if (key == kHeadKey) {
            if (const auto head = decodeHead(value.text, value.version))
                published.head = *head;
        } else if (const auto id = objectIdOf(key)) {
            published.objects[*id] = parseJson(value.text);
        }
    }
    return published;
}

ChangeSet changesBetween(const ObjectSet& present, const ObjectSet& wanted)
{
    ChangeSet changes;
    for (const auto& [id, object] : present) {
        if (!wanted.count(id))
            changes[id] = nullptr;
    }
    for (const auto& [id, object] : wanted) {
        const auto it = present.find(id);
        if (it == present.end() || it->second != object)
            changes[id] = object;
    }
    return changes;
}

std::optional<ConditionalWrite> buildPublicationWrite(const PublishedConfiguration& base, const ChangeSet& changes,
    const std::string& changeId, Millis now, std::vector<FieldError>& errors)
{
    if (changes.size() > kMaxChangedObjects) {
        errors.push_back({ FieldFault::changeTooLarge, "change", "objects", std::to_string(changes.size()),
            "at most " + std::to_string(kMaxChangedObjects) + " changed objects in one change" });
        return std::nullopt;
    }
    ObjectSet updatedObjects = base.objects;
    ConditionalWrite write;
    const std::string live = kLivePrefix, history = kHistoryPrefix;
    for (const auto& [id, object] : changes) {
        if (object.is_null())
            updatedObjects.erase(id);
        else
            updatedObjects[id] = object;
        write.puts.push_back({ live + objectKey(id), object.is_null() ? std::nullopt : std::optional(object.dump()) });
    }
    checkObjects(updatedObjects, errors);
    if (!errors.empty())
        return std::nullopt;
    const ConfigHead head { base.head.revision.next(), changeId, digestText(digestOf(updatedObjects)), now, {} };
    write.expected.push_back({ live + headKey(), base.head.version });
    write.puts.push_back({ live + headKey(), encodeHead(head) });
    write.puts.push_back({ history + historyKey(head.revision),
        Json { { "revision", head.revision.value }, { "change_id", changeId }, { "published_at_ms", now.count() },
            { "changes", encodeChanges(changes) } }
            .dump() });
    if (head.revision.value > kHistoryLength)
        write.puts.push_back({ history + historyKey({ head.revision.value - kHistoryLength }), std::nullopt });
    return write;
}

} // namespace pistachiospur
