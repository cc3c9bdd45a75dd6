#pragma once

#include "pistachiospur/types.h"

#include <string>
#include <vector>

// Failure types that cross module boundaries. A failure carries its facts as values; describe() formats them for people
// where they are printed.
namespace pistachiospur {

// Why a field of a document (settings or configuration) was refused.
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
    std::string object; // file or object that contains the field
    std::string field;
    std::string value; // the value found, as JSON
    std::string allowed; // description of the allowed values

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

// Whether a failed write can have taken effect.
enum class WriteOutcome { notApplied, unknown };

// A call to the platform's store that got no answer or an error.
struct StoreError {
    std::string endpoint; // the last endpoint tried
    Millis waited {};
    WriteOutcome outcome = WriteOutcome::unknown;
    int httpStatus = 0; // 0 when there was no answer
    bool historyLost = false; // the store no longer has the requested changes, so a new snapshot must be read
};

// Another operator has published since the revision that the change is based on.
struct RevisionConflict {
    Revision basedOn;
    Revision current;
};

// Stable name that programs can match, such as "unknown-reference".
const char* faultName(FieldFault);
// One line for people, with the facts of the failure.
std::string describe(const FieldError&);
std::string describe(const StoreError&);
std::string describe(const FileError&);

} // namespace pistachiospur
