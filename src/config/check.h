#pragma once

#include "fields.h"
#include "pistachiospur/objects.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Turns operators' JSON into a checked configuration and back.
namespace pistachiospur {

// Kind and name of an object, such as {"upstream", "atelier-07"}.
using ObjectId = std::pair<std::string, std::string>;

// The objects of a document, still in JSON but unique by kind and name.
using ObjectSet = std::map<ObjectId, Json>;

// Splits a document {"objects": [...]} into its objects.
ObjectSet readObjects(const std::string& text, const std::string& name, std::vector<FieldError>& errors);

// Checks every object and every reference between them. The result is meaningful only when no error was added.
Configuration checkObjects(const ObjectSet&, std::vector<FieldError>& errors);

// Puts one object, already checked with its whole set, into a configuration; null JSON takes it out.
void putObject(Configuration&, const ObjectId&, const Json&);

// A digest of the whole set: the exclusive or of its objects' digests, so that one object's change updates it.
std::uint64_t digestOf(const ObjectId&, const Json&);
std::uint64_t digestOf(const ObjectSet&);
// Sixteen hexadecimal digits.
std::string digestText(std::uint64_t);

} // namespace pistachiospur
