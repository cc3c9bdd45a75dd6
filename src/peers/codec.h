#pragma once

#include "io/json.h"
#include "messages.h"

#include <cmath>
#include <stdexcept>
#include <type_traits>

// Conversions of the basic types to the JSON model that the CBOR encoder reads. A struct is encoded as an array of its
// members, without names, to keep frames small; so the order of the members is part of the wire format.
namespace pistachiospur {

// The number in a value. Throws instead of changing a number that its type cannot hold.
template <typename Number> Number numberIn(const nlohmann::json& j)
{
    if constexpr (std::is_floating_point_v<Number>) {
        if (!j.is_number() || !std::isfinite(j.get<Number>()))
            throw std::out_of_range("no finite number");
        return j.get<Number>();
    } else {
        const auto number = integerIn<Number>(j);
        if (!number)
            throw std::out_of_range("no integer of the member's range");
        return *number;
    }
}

// How many enumerators an enumeration of the messages has; they are numbered from zero.
template <typename Enumeration> constexpr std::size_t kEnumerators = 0;
template <> inline constexpr std::size_t kEnumerators<HostState> = 3;
template <> inline constexpr std::size_t kEnumerators<Ran> = 2;
template <> inline constexpr std::size_t kEnumerators<RateNotice::Kind> = 3;
template <> inline constexpr auto kEnumerators<RefusalReason> = static_cast<std::size_t>(RefusalReason::count);

template <typename Tag, typename Number> void to_json(nlohmann::json& j, const Strong<Tag, Number>& number)
{
    j = number.value;
}
template <typename Tag, typename Number> void from_json(const nlohmann::json& j, Strong<Tag, Number>& number)
{
    number.value = numberIn<Number>(j);
}

// Encodes members as an array; `unpack`, below, decodes them in the same order.
template <typename... Members> nlohmann::json pack(const Members&... members)
{
    return nlohmann::json::array({ nlohmann::json(members)... });
}

// Reads a member. The JSON library would narrow numbers, and take any number for an enumerator.
template <typename Member> void readMember(const nlohmann::json& j, Member& member)
{
    if constexpr (std::is_enum_v<Member>) {
        static_assert(kEnumerators<Member> > 0, "the number of enumerators is not known");
        const auto n = numberIn<std::size_t>(j);
        if (n >= kEnumerators<Member>)
            throw std::out_of_range("unknown enumerator");
        member = static_cast<Member>(n);
    } else if constexpr (std::is_arithmetic_v<Member> && !std::is_same_v<Member, bool>) {
        member = numberIn<Member>(j);
    } else {
        j.get_to(member);
    }
}

// Slots and their numbers of requests.
inline void readMember(const nlohmann::json& j, std::vector<std::pair<std::uint32_t, std::uint32_t>>& counts)
{
    for (const auto& it : j)
        counts.emplace_back(numberIn<std::uint32_t>(it.at(0)), numberIn<std::uint32_t>(it.at(1)));
}

// Members at the end of a struct that builds before them do not send. They keep their default if they are missing;
// members behind the last one that is known are ignored.
template <typename Struct> constexpr std::size_t kAddedMembers = 0;
template <> inline constexpr std::size_t kAddedMembers<Hello> = 1;
template <> inline constexpr std::size_t kAddedMembers<ReplicaRequest> = 1;
template <> inline constexpr std::size_t kAddedMembers<ReplicaBatch> = 6;
template <> inline constexpr std::size_t kAddedMembers<WatchUpdate> = 1;
template <> inline constexpr std::size_t kAddedMembers<RelayTurnOver> = 1;
template <> inline constexpr std::size_t kAddedMembers<Relay> = 4;

template <std::size_t added = 0, typename... Members> void unpack(const nlohmann::json& j, Members&... members)
{
    std::size_t n = 0;
    const auto readNext = [&](auto& member) {
        const bool mayBeMissing = n + added >= sizeof...(Members);
        if (!mayBeMissing || n < j.size())
            readMember(j.at(n), member);
        ++n;
    };
    (readNext(members), ...);
}

} // namespace pistachiospur

namespace nlohmann {

template <> struct adl_serializer<pistachiospur::Millis> {
    static void to_json(json& j, const pistachiospur::Millis& duration) { j = duration.count(); }
    static void from_json(const json& j, pistachiospur::Millis& duration)
    {
        duration = pistachiospur::Millis(pistachiospur::numberIn<std::int64_t>(j));
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
