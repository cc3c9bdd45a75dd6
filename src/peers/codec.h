#pragma once

#include "messages.h"

#include <nlohmann/json.hpp>

// Conversions of the basic types to the JSON model that the CBOR encoder reads. A struct is encoded as an array of its
// members, without names, to keep frames small; so the order of the members is part of the wire format.
namespace pistachiospur {

template <typename Tag, typename Number> void to_json(nlohmann::json& j, const Strong<Tag, Number>& number)
{
    j = number.value;
}
template <typename Tag, typename Number> void from_json(const nlohmann::json& j, Strong<Tag, Number>& number)
{
    number.value = j.get<Number>();
}

// Encodes members as an array; `unpack` decodes them in the same order.
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
    static void to_json(json& j, const pistachiospur::Millis& duration) { j = duration.count(); }
    static void from_json(const json& j, pistachiospur::Millis& duration)
    {
        duration = pistachiospur::Millis(j.get<std::int64_t>());
    }
};

template <typename T> struct adl_serializer<std::optional<T>> {
    static void to_json(json& j, const std::optional<T>& optional) { j = optional ? json(*optional) : json(nullptr); }
    static void from_json(const json& j, std::optional<T>& optional)
    {
        optional = j.is_null() ? std::nullopt : std::optional<T>(j.get<T>());
    }
};

} // namespace nlohmann
