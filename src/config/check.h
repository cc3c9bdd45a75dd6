#pragma once

#include "fields.h"
#include "pistachiospur/objects.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Parses and checks the operators' configuration documents (JSON).
namespace pistachiospur {

// Identifies a configuration object by kind and name, such as {"upstream", "atelier-07"}.
using ObjectId = std::pair<std::string, std::string>;

// The objects of a document as unchecked JSON, keyed by kind and name.
using ObjectSet = std::map<ObjectId, Json>;

// Splits a document {"objects": [...]} into its objects. `name` identifies the document in errors.
ObjectSet readObjects(const std::string& text, const std::string& name, std::vector<FieldError>& errors);

// Checks every object and every reference between objects. The result is valid only if no error was added.
Configuration checkObjects(const ObjectSet&, std::vector<FieldError>& errors);

// Adds or replaces one object in a configuration; null JSON removes it. The object must have passed checkObjects
// together with its whole set, so errors are ignored here.
void putObject(Configuration&, const ObjectId&, const Json&);

// The digest of a set is the XOR of its objects' digests, so a changed object updates it without rehashing the others.
std::uint64_t digestOf(const ObjectId&, const Json&);
std::uint64_t digestOf(const ObjectSet&);
// Formats a digest as 16 hexadecimal digits.
std::string digestText(std::uint64_t);

} // namespace pistachiospur
