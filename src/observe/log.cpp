#include "log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <nlohmann/json.hpp>

namespace pistachiospur {

namespace {

bool jsonLines = false;

log4cplus::Logger& logger()
{
    static log4cplus::Logger it = log4cplus::Logger::getInstance("pistachiospur");
    return it;
}

// In JSON the text becomes one quoted value; the layout adds the fields around it.
std::string quoted(const std::string& text)
{
    return jsonLines ? nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : text;
}

} // namespace

void startLog(LogFormat format, const std::string& host)
{
    jsonLines = format == LogFormat::json;
    const std::string time = "%D{%Y-%m-%dT%H:%M:%S.%q}";
    const std::string pattern = jsonLines
        ? "{\"time\":\"" + time + "Z\",\"level\":\"%p\",\"host\":\"" + host + "\",\"message\":%m}%n"
        : time + " %-5p " + host + ": %m%n";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logInfo(const std::string& text) { LOG4CPLUS_INFO(logger(), quoted(text)); }

void logWarning(const std::string& text) { LOG4CPLUS_WARN(logger(), quoted(text)); }

void logError(const std::string& text) { LOG4CPLUS_ERROR(logger(), quoted(text)); }

} // namespace pistachiospur
