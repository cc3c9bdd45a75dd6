#include "fields.h"

#include "io/json.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pistachiospur {

namespace {

constexpr Bounds kPortBounds { 1, 65535 };
constexpr const char* kEndpointFormat = "\"address:port\" with a numeric IP address and a port from 1 to 65535";

std::string boundsText(Bounds bounds)
{
    return "an integer from " + std::to_string(bounds.min) + " to " + std::to_string(bounds.max);
}

} // namespace

std::optional<Json> parseDocument(const std::string& text, const std::string& name, std::vector<FieldError>& errors)
{
    std::size_t faultAt = 0;
    Json document = parseJson(text, &faultAt);
    if (!document.is_discarded())
        return document;
    errors.push_back({ FieldFault::malformedJson, name, "byte " + std::to_string(faultAt), "",
        "valid JSON with numbers that fit a double" });
    return std::nullopt;
}

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 >= text.size() || text.size() - colon > 6)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    unsigned char buf[sizeof(in6_addr)];
    if (inet_pton(AF_INET, address.c_str(), buf) != 1 && inet_pton(AF_INET6, address.c_str(), buf) != 1)
        return std::nullopt;
    long port = 0;
    for (auto it = text.begin() + static_cast<long>(colon) + 1; it != text.end(); ++it) {
        if (*it < '0' || *it > '9')
            return std::nullopt;
        port = port * 10 + (*it - '0');
    }
    if (port < 1 || port > 65535)
        return std::nullopt;
    return Endpoint { address, static_cast<std::uint16_t>(port) };
}

FieldReader::FieldReader(const Json& object, std::string name, std::vector<FieldError>& errors)
    : m_object(object)
    , m_name(std::move(name))
    , m_errors(errors)
{
    if (!m_object.is_object())
        addFault(FieldFault::wrongType, "", m_object.dump().substr(0, 80), "an object");
}

void FieldReader::addFault(
    FieldFault kind, const std::string& field, const std::string& value, const std::string& allowed)
{
    m_errors.push_back({ kind, m_name, field, value, allowed });
}

const Json* FieldReader::find(const char* field, bool required, const char* allowed)
{
    m_knownFields.insert(field);
    if (!m_object.is_object())
        return nullptr;
    const auto it = m_object.find(field);
    if (it != m_object.end())
        return &*it;
    if (required)
        addFault(FieldFault::missingField, field, "", allowed);
    return nullptr;
}

std::string FieldReader::text(const char* field)
{
    const Json* value = find(field, true, "a string");
    if (!value)
        return {};
    if (!value->is_string()) {
        addFault(FieldFault::wrongType, field, value->dump(), "a string");
        return {};
    }
    if (value->get_ref<const std::string&>().empty())
        addFault(FieldFault::outOfRange, field, "\"\"", "a non-empty string");
    return value->get<std::string>();
}

std::string FieldReader::textOr(const char* field, const std::string& defaultValue)
{
    return m_object.is_object() && m_object.contains(field) ? text(field) : (m_knownFields.insert(field), defaultValue);
}

std::int64_t FieldReader::integer(const char* field, Bounds bounds)
{
    const std::string allowed = boundsText(bounds);
    const Json* value = find(field, true, allowed.c_str());
    if (!value)
        return bounds.min;
    if (!value->is_number_integer()) {
        addFault(FieldFault::wrongType, field, value->dump(), allowed);
        return bounds.min;
    }
    const bool aboveInt64
        = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const auto n = aboveInt64 ? INT64_MAX : value->get<std::int64_t>();
    if (n < bounds.min || n > bounds.max) {
        addFault(FieldFault::outOfRange, field, value->dump(), allowed);
        return bounds.min;
    }
    return n;
}

std::int64_t FieldReader::integerOr(const char* field, Bounds bounds, std::int64_t defaultValue)
{
    return m_object.is_object() && m_object.contains(field) ? integer(field, bounds)
                                                            : (m_knownFields.insert(field), defaultValue);
}

std::int64_t FieldReader::roundedInteger(const char* field, Bounds bounds)
{
    const std::string allowed = boundsText(bounds);
    const Json* value = find(field, true, allowed.c_str());
    if (!value)
        return bounds.min;
    if (!value->is_number()) {
        addFault(FieldFault::wrongType, field, value->dump(), allowed);
        return bounds.min;
    }
    const double n = value->get<double>();
    if (!(n >= static_cast<double>(bounds.min) && n <= static_cast<double>(bounds.max))) {
        addFault(FieldFault::outOfRange, field, value->dump(), allowed);
        return bounds.min;
    }
    return std::llround(n);
}

std::int64_t FieldReader::roundedIntegerOr(const char* field, Bounds bounds, std::int64_t defaultValue)
{
    m_knownFields.insert(field);
    if (!has(field))
        return defaultValue;
    const std::size_t faults = m_errors.size();
    const auto n = roundedInteger(field, bounds);
    return m_errors.size() == faults ? n : defaultValue;
}

double FieldReader::numberOr(const char* field, double min, double max, double defaultValue)
{
    std::ostringstream allowed;
    allowed << "a number from " << min << " to " << max;
    const Json* value = find(field, false, "");
    if (!value)
        return defaultValue;
    if (!value->is_number()) {
        addFault(FieldFault::wrongType, field, value->dump(), allowed.str());
        return defaultValue;
    }
    const double n = value->get<double>();
    if (n >= min && n <= max)
        return n;
    addFault(FieldFault::outOfRange, field, value->dump(), allowed.str());
    return defaultValue;
}

std::uint64_t FieldReader::counter(const char* field, std::uint64_t max)
{
    const std::string allowed = "an integer from 0 to " + std::to_string(max);
    const Json* value = find(field, true, allowed.c_str());
    if (!value)
        return 0;
    const auto n = integerIn<std::uint64_t>(*value);
    if (n && *n <= max)
        return *n;
    addFault(
        value->is_number_integer() ? FieldFault::outOfRange : FieldFault::wrongType, field, value->dump(), allowed);
    return 0;
}

std::uint64_t FieldReader::counterOr(const char* field, std::uint64_t max, std::uint64_t defaultValue)
{
    m_knownFields.insert(field);
    return has(field) ? counter(field, max) : defaultValue;
}

double FieldReader::fractionOr(const char* field, double defaultValue) { return numberOr(field, 0, 1, defaultValue); }

bool FieldReader::flagOr(const char* field, bool defaultValue)
{
    const Json* value = find(field, false, "");
    if (!value)
        return defaultValue;
    if (!value->is_boolean()) {
        addFault(FieldFault::wrongType, field, value->dump(), "true or false");
        return defaultValue;
    }
    return value->get<bool>();
}

std::string FieldReader::oneOf(
    const char* field, const std::vector<std::string>& choices, const std::string& defaultValue)
{
    std::string found = defaultValue.empty() ? text(field) : textOr(field, defaultValue);
    std::string allowed;
    for (const auto& it : choices) {
        if (it == found)
            return found;
        allowed += (allowed.empty() ? "" : ", ") + it;
    }
    if (!found.empty())
        addFault(FieldFault::outOfRange, field, Json(found).dump(), allowed);
    return choices.front();
}

std::vector<std::string> FieldReader::texts(const char* field, std::size_t minCount)
{
    const std::string allowed = "an array of at least " + std::to_string(minCount) + " strings";
    const Json* value = find(field, minCount > 0, allowed.c_str());
    std::vector<std::string> found;
    if (!value)
        return found;
    const bool allStrings = value->is_array()
        && std::all_of(value->begin(), value->end(), [](const Json& item) { return item.is_string(); });
    if (!allStrings) {
        addFault(FieldFault::wrongType, field, value->dump().substr(0, 80), allowed);
        return found;
    }
    found = value->get<std::vector<std::string>>();
    if (found.size() < minCount)
        addFault(FieldFault::outOfRange, field, value->dump(), allowed);
    return found;
}

std::vector<Json> FieldReader::objects(const char* field, std::size_t minCount)
{
    const std::string allowed = "an array of at least " + std::to_string(minCount) + " objects";
    const Json* value = find(field, minCount > 0, allowed.c_str());
    if (!value)
        return {};
    if (!value->is_array()) {
        addFault(FieldFault::wrongType, field, value->dump().substr(0, 80), allowed);
        return {};
    }
    if (value->size() < minCount)
        addFault(FieldFault::outOfRange, field, value->dump(), allowed);
    return value->get<std::vector<Json>>();
}

Endpoint FieldReader::endpoint(const char* field)
{
    const std::string found = text(field);
    if (found.empty())
        return {};
    if (const auto parsed = parseEndpoint(found))
        return *parsed;
    addFault(FieldFault::outOfRange, field, Json(found).dump(), kEndpointFormat);
    return {};
}

Endpoint FieldReader::endpoint(const char* addressField, const char* portField)
{
    Endpoint found { text(addressField), static_cast<std::uint16_t>(integer(portField, kPortBounds)) };
    if (!found.address.empty() && !parseEndpoint(found.text()))
        addFault(FieldFault::outOfRange, addressField, Json(found.address).dump(), "a numeric IP address");
    return found;
}

std::vector<Endpoint> FieldReader::endpoints(const char* field)
{
    std::vector<Endpoint> found;
    for (const auto& it : texts(field, 1)) {
        if (const auto parsed = parseEndpoint(it))
            found.push_back(*parsed);
        else
            addFault(FieldFault::outOfRange, field, Json(it).dump(), kEndpointFormat);
    }
    return found;
}

void FieldReader::refuseUnknownFields()
{
    if (!m_object.is_object())
        return;
    std::string allowed;
    for (const auto& it : m_knownFields)
        allowed += (allowed.empty() ? "" : ", ") + it;
    for (const auto& [name, value] : m_object.items()) {
        if (!m_knownFields.count(name))
            addFault(FieldFault::unknownField, name, value.dump().substr(0, 80), allowed);
    }
}

} // namespace pistachiospur
