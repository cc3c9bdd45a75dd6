#include "pistachiospur/errors.h"

#include <cstring>

namespace pistachiospur {

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
    std::string text = error.object;
    if (!error.field.empty())
        text += ": " + error.field;
    text += std::string(": ") + faultName(error.fault);
    if (!error.value.empty())
        text += ", found " + error.value;
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
