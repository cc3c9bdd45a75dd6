#pragma once

#include "messages.h"

#include <nlohmann/json.hpp>

// How each message and its parts look in JSON terms, for the CBOR encoder. Field order is the wire order: arrays in
// place of objects keep frames small.
namespace pistachiospur {

template <typename Tag, typename Number> void to_json(nlohmann::json& j, const Strong<Tag, Number>& it)
{
    j = it.value;
}
template <typename Tag, typename Number> void from_json(const nlohmann::json& j, Strong<Tag, Number>& it)
{
    it.value = j.get<Number>();
}

// Writes members as an array and reads them back in the same order.
template <typename... Members> nlohmann::json pack(const Members&... members)
{
    return nlohmann::json::array({ nlohmann::json(members)... });
}

template <typename... Members> void unpack(const nlohmann::json& j, Members&... members)
{
    std::size_t n = 0;
    (j.at(n++).get_to(members), ...);
}

} // namespace pistachiospur

namespace nlohmann {

template <> struct adl_serializer<pistachiospur::Millis> {
    static void to_json(json& j, const pistachiospur::Millis& it) { j = it.count(); }
    static void from_json(const json& j, pistachiospur::Millis& it)
    {
        it = pistachiospur::Millis(j.get<std::int64_t>());
    }
};

template <typename T> struct adl_serializer<std::optional<T>> {
    static void to_json(json& j, const std::optional<T>& it) { j = it ? json(*it) : json(nullptr); }
    static void from_json(const json& j, std::optional<T>& it)
    {
        it = j.is_null() ? std::nullopt : std::optional<T>(j.get<T>());
    }
};

} // namespace nlohmann
