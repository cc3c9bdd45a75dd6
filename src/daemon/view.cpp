#include "view.h"

#include "io/json.h"

namespace pistachiospur {

namespace {

void applyObject(StoreView& view, const ObjectId& id, const KeyChange& change)
{
    const Json object = change.text ? parseJson(*change.text) : Json();
    if (object.is_discarded()) {
        ++view.unreadable;
        return;
    }
    std::uint64_t& digest = view.digests[id];
    view.digest ^= digest;
    digest = object.is_null() ? 0 : digestOf(id, object);
    view.digest ^= digest;
    if (object.is_null())
        view.digests.erase(id);
    putObject(view.configuration, id, object);
}

void applyHead(StoreView& view, const KeyChange& change)
{
    const auto head = change.text ? decodeHead(*change.text, change.version) : std::nullopt;
    if (!head || head->revision < view.head.revision)
        ++view.unreadable;
    else
        view.head = *head;
}

} // namespace

void applyChange(StoreView& view, const KeyChange& change)
{
    if (change.key == headKey())
        applyHead(view, change);
    else if (const auto id = objectIdOf(change.key))
        applyObject(view, *id, change);
    else if (!applyRecord(view.ownership, change.key, change.text.value_or(""), change.version))
        ++view.unreadable;
}

bool isWhole(const StoreView& view)
{
    return view.head.revision.value == 0 || view.head.digest == digestText(view.digest);
}

} // namespace pistachiospur
