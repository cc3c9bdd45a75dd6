#pragma once

#include "pistachiospur/errors.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Checked reading of JSON objects: every access names the type and bounds that it needs, and every fault is collected
// with object, field, value and what is allowed, so that an operator sees all of them at once.
namespace pistachiospur {

using Json = nlohmann::json;

// Limits of an integer field.
struct Bounds {
    std::int64_t least;
    std::int64_t greatest;
};

class FieldReader {
public:
    FieldReader(const Json& object, std::string name, std::vector<FieldError>& errors);

    std::string text(const char* field);
    std::string textOr(const char* field, const std::string& fallback);
    std::int64_t integer(const char* field, Bounds);
    std::int64_t integerOr(const char* field, Bounds, std::int64_t fallback);
    // A number that may be written with a fraction, rounded to a whole one.
    std::int64_t rounded(const char* field, Bounds);
    double fractionOr(const char* field, double fallback);
    bool flagOr(const char* field, bool fallback);
    // One of a closed list of words.
    std::string oneOf(const char* field, const std::vector<std::string>& words, const std::string& fallback);
    std::vector<std::string> texts(const char* field, std::size_t least);
    // Array of objects, for the caller to read with a reader each.
    std::vector<Json> objects(const char* field, std::size_t least);
    // "address:port" with an IP number.
    Endpoint endpoint(const char* field);
    std::vector<Endpoint> endpoints(const char* field);

    // Marks a field that the caller reads by other means.
    void know(const char* field) { m_known.insert(field); }
    // Reports every field that no call above asked for.
    void refuseUnknownFields();
    void fault(FieldFault, const std::string& field, const std::string& value, const std::string& allowed);

private:
    const Json* find(const char* field, bool required, const char* allowed);

    const Json& m_object;
    std::string m_name;
    std::vector<FieldError>& m_errors;
    std::set<std::string> m_known;
};

// Parses text, adding a malformedJson fault with the byte position when it is not whole, valid JSON.
std::optional<Json> parseDocument(const std::string& text, const std::string& name, std::vector<FieldError>& errors);

// Parses "address:port"; nothing unless the address is an IP number and the port is 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string& text);

} // namespace pistachiospur
