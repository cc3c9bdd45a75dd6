#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

// Parsing of documents that others have written. The JSON library copies, compares and writes documents by recursion,
// and decodes CBOR by recursion, so a document that is nested deeply enough ends the process.
namespace pistachiospur {

// How deep a document's arrays and objects may be nested. No document that we read has more than ten levels.
constexpr std::size_t kMaxNesting = 64;

// The document of a JSON text, without the arrays and objects below kMaxNesting levels. Discarded if the text is no
// JSON or has a number beyond a double; `faultAt` is then the byte position.
nlohmann::json parseJson(const std::string& text, std::size_t* faultAt = nullptr);

// The document of CBOR bytes as hosts write it. Discarded if the bytes are no CBOR, are nested deeper than kMaxNesting
// levels, or use tags or items without a length.
nlohmann::json parseCbor(const std::string& bytes);

// The integer in a value; nothing if it is no integer or lies outside the range of the type.
template <typename Integer> std::optional<Integer> integerIn(const nlohmann::json& value)
{
    using Limits = std::numeric_limits<Integer>;
    if (value.is_number_unsigned()) {
        const auto n = value.get<std::uint64_t>();
        return n <= static_cast<std::uint64_t>(Limits::max()) ? std::optional(static_cast<Integer>(n)) : std::nullopt;
    }
    if (!Limits::is_signed || !value.is_number_integer())
        return std::nullopt;
    const auto n = value.get<std::int64_t>();
    const bool isInRange
        = n >= static_cast<std::int64_t>(Limits::min()) && (n < 0 || static_cast<std::uint64_t>(n) <= Limits::max());
    return isInRange ? std::optional(static_cast<Integer>(n)) : std::nullopt;
}

} // namespace pistachiospur
