#pragma once

#include "pistachiospur/types.h"

#include <string>
#include <vector>

// The failure types that cross module boundaries. Each failure is a value with its facts; text is made at the edge.
namespace pistachiospur {

// Why a document (settings or configuration) was refused.
enum class FieldFault {
    malformedJson,
    wrongType,
    missingField,
    unknownField,
    outOfRange,
    unknownKind,
    duplicateName,
    unknownReference,
    portClash,
    conflict,
    changeTooLarge,
};

// One fault in one field of a document.
struct FieldError {
    FieldFault fault;
    std::string object; // file or object that holds the field
    std::string field;
    std::string value; // as found, in JSON
    std::string allowed; // what would have been accepted

    friend bool operator==(const FieldError& a, const FieldError& b)
    {
        return std::tie(a.fault, a.object, a.field, a.value, a.allowed)
            == std::tie(b.fault, b.object, b.field, b.value, b.allowed);
    }
};

// All faults found in one document.
struct DocumentError {
    std::vector<FieldError> faults;
};

// A file that could not be read.
struct FileError {
    std::string path;
    int errnoValue = 0;
};

// Whether a write that failed can have taken effect.
enum class WriteOutcome { notApplied, unknown };

// The platform's store did not answer, or answered with an error.
struct StoreError {
    std::string endpoint; // the last one asked
    Millis waited {};
    WriteOutcome outcome = WriteOutcome::unknown;
    int httpStatus = 0; // 0 when there was no answer
    bool historyLost = false; // the changes asked for are no longer kept: read everything anew
};

// Another operator published first.
struct RevisionConflict {
    Revision basedOn;
    Revision current;
};

// Stable names for programs to match on, such as "unknown-reference".
const char* faultName(FieldFault);
// One line for people: object, field, value and what is allowed.
std::string describe(const FieldError&);
std::string describe(const StoreError&);
std::string describe(const FileError&);

} // namespace pistachiospur
