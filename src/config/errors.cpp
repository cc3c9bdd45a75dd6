#include "pistachiospur/errors.h"

#include <cstring>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxShownBytes = 200; // of each part of a fault; a value may be as long as the store allows

std::string shown(const std::string& text)
{
    return text.size() <= kMaxShownBytes ? text : text.substr(0, kMaxShownBytes) + "...";
}

} // namespace

const char* faultName(FieldFault fault)
{
    switch (fault) {
    case FieldFault::malformedJson:
        return "malformed-json";
    case FieldFault::wrongType:
        return "wrong-type";
    case FieldFault::missingField:
        return "missing-field";
    case FieldFault::unknownField:
        return "unknown-field";
    case FieldFault::outOfRange:
        return "out-of-range";
    case FieldFault::unknownKind:
        return "unknown-kind";
    case FieldFault::duplicateName:
        return "duplicate-name";
    case FieldFault::unknownReference:
        return "unknown-reference";
    case FieldFault::portClash:
        return "port-clash";
    case FieldFault::conflict:
        return "conflict";
    case FieldFault::changeTooLarge:
        return "change-too-large";
    }
    return "unknown";
}

std::string describe(const FieldError& error)
{
    std::string text = shown(error.object);
    if (!error.field.empty())
        text += ": " + shown(error.field);
    text += std::string(": ") + faultName(error.fault);
    if (!error.value.empty())
        text += ", found " + shown(error.value);
    if (!error.allowed.empty())
        text += "; allowed: " + error.allowed;
    return text;
}

std::string describe(const StoreError& error)
{
    const char* effect = error.outcome == WriteOutcome::notApplied ? "the write had no effect"
                                                                   : "the write may or may not have taken effect";
    return "store " + error.endpoint + " failed after " + std::to_string(error.waited.count()) + " ms (HTTP status "
        + std::to_string(error.httpStatus) + "): " + effect;
}

std::string describe(const FileError& error) { return error.path + ": " + std::strerror(error.errnoValue); }

} // namespace pistachiospur
