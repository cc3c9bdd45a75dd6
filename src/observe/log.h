#pragma once

#include <string>

// Log messages for people, one line for each change of state, written to standard error by log4cplus.
namespace pistachiospur {

enum class LogFormat { human, json };

void startLog(LogFormat, const std::string& host);
void logInfo(const std::string& text);
void logWarning(const std::string& text);
void logError(const std::string& text);

} // namespace pistachiospur
