#include "log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <nlohmann/json.hpp>

namespace pistachiospur {

namespace {

bool jsonFormat = false;

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("pistachiospur");
    return instance;
}

// In JSON format, encodes the message as a JSON string; the layout's pattern adds the other fields.
std::string encodeMessage(const std::string& text)
{
    return jsonFormat ? nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : text;
}

} // namespace

void startLog(LogFormat format, const std::string& host)
{
    jsonFormat = format == LogFormat::json;
    const std::string time = "%D{%Y-%m-%dT%H:%M:%S.%q}";
    const std::string pattern = jsonFormat
        ? "{\"time\":\"" + time + "Z\",\"level\":\"%p\",\"host\":\"" + host + "\",\"message\":%m}%n"
        : time + " %-5p " + host + ": %m%n";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logInfo(const std::string& text) { LOG4CPLUS_INFO(logger(), encodeMessage(text)); }

void logWarning(const std::string& text) { LOG4CPLUS_WARN(logger(), encodeMessage(text)); }

void logError(const std::string& text) { LOG4CPLUS_ERROR(logger(), encodeMessage(text)); }

} // namespace pistachiospur
