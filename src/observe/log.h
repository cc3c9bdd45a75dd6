#pragma once

#include <string>

// One line for each change of state, by log4cplus on standard error.
namespace pistachiospur {

enum class LogFormat { human, json };

void startLog(LogFormat, const std::string& host);
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace pistachiospur
