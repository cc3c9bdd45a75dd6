#pragma once

#include "pistachiospur/errors.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Typed reading of JSON objects. Each accessor checks a field's type and bounds. Faults are collected with object,
// field, value and allowed values, so that an operator sees all of them at once.
namespace pistachiospur {

using Json = nlohmann::json;

// Inclusive bounds of an integer field.
struct Bounds {
    std::int64_t min;
    std::int64_t max;
};

// Reads the fields of one JSON object. An accessor that finds a fault adds it to `errors` and returns a placeholder.
// `name` identifies the object in errors.
class FieldReader {
public:
    FieldReader(const Json& object, std::string name, std::vector<FieldError>& errors);

    std::string text(const char* field);
    std::string textOr(const char* field, const std::string& defaultValue);
    std::int64_t integer(const char* field, Bounds);
    std::int64_t integerOr(const char* field, Bounds, std::int64_t defaultValue);
    // Accepts a number with a fraction and rounds it to the nearest integer.
    std::int64_t roundedInteger(const char* field, Bounds);
    std::int64_t roundedIntegerOr(const char* field, Bounds, std::int64_t defaultValue);
    // A number, which may have a fraction, from `min` to `max`.
    double numberOr(const char* field, double min, double max, double defaultValue);
    // A number of a series, such as a revision: an integer from 0 to `max`.
    std::uint64_t counter(const char* field, std::uint64_t max);
    std::uint64_t counterOr(const char* field, std::uint64_t max, std::uint64_t defaultValue);
    double fractionOr(const char* field, double defaultValue);
    bool has(const char* field) const { return m_object.is_object() && m_object.contains(field); }
    bool flagOr(const char* field, bool defaultValue);
    // A string that must be one of `choices`. The field is required if `defaultValue` is empty.
    std::string oneOf(const char* field, const std::vector<std::string>& choices, const std::string& defaultValue);
    std::vector<std::string> texts(const char* field, std::size_t minCount);
    // An array whose elements are returned unchecked; the caller reads each with its own FieldReader.
    std::vector<Json> objects(const char* field, std::size_t minCount);
    // "address:port" with a numeric IP address.
    Endpoint endpoint(const char* field);
    // A numeric IP address and a port from 1 to 65535 in fields of their own.
    Endpoint endpoint(const char* addressField, const char* portField);
    std::vector<Endpoint> endpoints(const char* field);

    // Marks a field as known that the caller reads without this reader.
    void markKnown(const char* field) { m_knownFields.insert(field); }
    // Reports every field that no accessor above has read.
    void refuseUnknownFields();
    void addFault(FieldFault, const std::string& field, const std::string& value, const std::string& allowed);

private:
    const Json* find(const char* field, bool required, const char* allowed);

    const Json& m_object;
    std::string m_name;
    std::vector<FieldError>& m_errors;
    std::set<std::string> m_knownFields;
};

// Parses a JSON document. Adds a malformedJson fault with the byte position if it is truncated or invalid.
std::optional<Json> parseDocument(const std::string& text, const std::string& name, std::vector<FieldError>& errors);

// Parses "address:port" with a numeric IPv4 or IPv6 address (IPv6 may be in brackets) and a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string& text);

} // namespace pistachiospur
