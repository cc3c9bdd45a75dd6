#include "fields.h"

#include <arpa/inet.h>

namespace pistachiospur {

namespace {

constexpr const char* kEndpointForm = "\"address:port\" with an IP number and a port from 1 to 65535";

std::string rangeText(Bounds bounds)
{
    return "a whole number from " + std::to_string(bounds.least) + " to " + std::to_string(bounds.greatest);
}

} // namespace

std::optional<Json> parseDocument(const std::string& text, const std::string& name, std::vector<FieldError>& errors)
{
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& error) {
        errors.push_back({ FieldFault::malformedJson, name, "byte " + std::to_string(error.byte), "", "valid JSON" });
        return std::nullopt;
    }
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
        fault(FieldFault::wrongType, "", m_object.dump().substr(0, 80), "an object");
}

void FieldReader::fault(FieldFault kind, const std::string& field, const std::string& value, const std::string& allowed)
{
    m_errors.push_back({ kind, m_name, field, value, allowed });
}

const Json* FieldReader::find(const char* field, bool required, const char* allowed)
{
    m_known.insert(field);
    if (!m_object.is_object())
        return nullptr;
    const auto it = m_object.find(field);
    if (it != m_object.end())
        return &*it;
    if (required)
        fault(FieldFault::missingField, field, "", allowed);
    return nullptr;
}

std::string FieldReader::text(const char* field)
{
    const Json* it = find(field, true, "a text");
    if (!it)
        return {};
    if (!it->is_string()) {
        fault(FieldFault::wrongType, field, it->dump(), "a text");
        return {};
    }
    if (it->get_ref<const std::string&>().empty())
        fault(FieldFault::outOfRange, field, "\"\"", "a text that is not empty");
    return it->get<std::string>();
}

std::string FieldReader::textOr(const char* field, const std::string& fallback)
{
    return m_object.is_object() && m_object.contains(field) ? text(field) : (m_known.insert(field), fallback);
}

std::int64_t FieldReader::integer(const char* field, Bounds bounds)
{
    const std::string allowed = rangeText(bounds);
    const Json* it = find(field, true, allowed.c_str());
    if (!it)
        return bounds.least;
    if (!it->is_number_integer()) {
        fault(FieldFault::wrongType, field, it->dump(), allowed);
        return bounds.least;
    }
    const bool huge = it->is_number_unsigned() && it->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const auto n = huge ? INT64_MAX : it->get<std::int64_t>();
    if (n < bounds.least || n > bounds.greatest) {
        fault(FieldFault::outOfRange, field, it->dump(), allowed);
        return bounds.least;
    }
    return n;
}

std::int64_t FieldReader::integerOr(const char* field, Bounds bounds, std::int64_t fallback)
{
    return m_object.is_object() && m_object.contains(field) ? integer(field, bounds)
                                                            : (m_known.insert(field), fallback);
}

std::int64_t FieldReader::rounded(const char* field, Bounds bounds)
{
    const std::string allowed = rangeText(bounds);
    const Json* it = find(field, true, allowed.c_str());
    if (!it)
        return bounds.least;
    if (!it->is_number()) {
        fault(FieldFault::wrongType, field, it->dump(), allowed);
        return bounds.least;
    }
    const double n = it->get<double>();
    if (!(n >= static_cast<double>(bounds.least) && n <= static_cast<double>(bounds.greatest))) {
        fault(FieldFault::outOfRange, field, it->dump(), allowed);
        return bounds.least;
    }
    return std::llround(n);
}

double FieldReader::fractionOr(const char* field, double fallback)
{
    const char* allowed = "a number from 0 to 1";
    const Json* it = find(field, false, allowed);
    if (!it)
        return fallback;
    if (!it->is_number()) {
        fault(FieldFault::wrongType, field, it->dump(), allowed);
        return fallback;
    }
    const double n = it->get<double>();
    if (!(n >= 0 && n <= 1))
        fault(FieldFault::outOfRange, field, it->dump(), allowed);
    return n;
}

bool FieldReader::flagOr(const char* field, bool fallback)
{
    const Json* it = find(field, false, "");
    if (!it)
        return fallback;
    if (!it->is_boolean()) {
        fault(FieldFault::wrongType, field, it->dump(), "true or false");
        return fallback;
    }
    return it->get<bool>();
}

std::string FieldReader::oneOf(const char* field, const std::vector<std::string>& words, const std::string& fallback)
{
    std::string found = fallback.empty() ? text(field) : textOr(field, fallback);
    std::string allowed;
    for (const auto& it : words) {
        if (it == found)
            return found;
        allowed += (allowed.empty() ? "" : ", ") + it;
    }
    if (!found.empty())
        fault(FieldFault::outOfRange, field, Json(found).dump(), allowed);
    return words.front();
}

std::vector<std::string> FieldReader::texts(const char* field, std::size_t least)
{
    const std::string allowed = "an array of at least " + std::to_string(least) + " texts";
    const Json* it = find(field, least > 0, allowed.c_str());
    std::vector<std::string> found;
    if (!it)
        return found;
    const bool right
        = it->is_array() && std::all_of(it->begin(), it->end(), [](const Json& n) { return n.is_string(); });
    if (!right) {
        fault(FieldFault::wrongType, field, it->dump().substr(0, 80), allowed);
        return found;
    }
    found = it->get<std::vector<std::string>>();
    if (found.size() < least)
        fault(FieldFault::outOfRange, field, it->dump(), allowed);
    return found;
}

std::vector<Json> FieldReader::objects(const char* field, std::size_t least)
{
    const std::string allowed = "an array of at least " + std::to_string(least) + " objects";
    const Json* it = find(field, least > 0, allowed.c_str());
    if (!it)
        return {};
    if (!it->is_array()) {
        fault(FieldFault::wrongType, field, it->dump().substr(0, 80), allowed);
        return {};
    }
    if (it->size() < least)
        fault(FieldFault::outOfRange, field, it->dump(), allowed);
    return it->get<std::vector<Json>>();
}

Endpoint FieldReader::endpoint(const char* field)
{
    const std::string found = text(field);
    if (found.empty())
        return {};
    if (const auto parsed = parseEndpoint(found))
        return *parsed;
    fault(FieldFault::outOfRange, field, Json(found).dump(), kEndpointForm);
    return {};
}

std::vector<Endpoint> FieldReader::endpoints(const char* field)
{
    std::vector<Endpoint> found;
    for (const auto& it : texts(field, 1)) {
        if (const auto parsed = parseEndpoint(it))
            found.push_back(*parsed);
        else
            fault(FieldFault::outOfRange, field, Json(it).dump(), kEndpointForm);
    }
    return found;
}

void FieldReader::refuseUnknownFields()
{
    if (!m_object.is_object())
        return;
    std::string allowed;
    for (const auto& it : m_known)
        allowed += (allowed.empty() ? "" : ", ") + it;
    for (const auto& [name, value] : m_object.items()) {
        if (!m_known.count(name))
            fault(FieldFault::unknownField, name, value.dump().substr(0, 80), allowed);
    }
}

} // namespace pistachiospur
