// Implements the logging interface on Boost.Log.
#include "chivefront/base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

#include "chivefront/base/names.h"

namespace chivefront::base {
namespace detail {

constexpr NameTable<Severity, 4> kSeverityNames{ {
  { { Severity::Debug, "debug" },
    { Severity::Info, "info" },
    { Severity::Warning, "warning" },
    { Severity::Error, "error" } },
} };

// Quotes a value that is empty or holds spaces, quotes, '=' or line breaks, so
// that records stay parseable.
std::string
QuoteIfNeeded(std::string_view aValue)
{
  if (aValue.find_first_of(" \"=\n") == std::string_view::npos &&
      !aValue.empty()) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '\n') {
      quoted += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(c);
  }
  quoted.push_back('"');
  return quoted;
}

} // namespace detail

LogField::LogField(std::string_view aName, std::string_view aValue)
  : m_name(aName)
  , m_value(aValue)
{
}
LogField::LogField(std::string_view aName, const char* aValue)
  : LogField(aName, std::string_view(aValue))
{
}
LogField::LogField(std::string_view aName, const std::string& aValue)
  : LogField(aName, std::string_view(aValue))
{
}
LogField::LogField(std::string_view aName, int64_t aValue)
  : LogField(aName, std::to_string(aValue))
{
}
LogField::LogField(std::string_view aName, uint64_t aValue)
  : LogField(aName, std::to_string(aValue))
{
}
LogField::LogField(std::string_view aName, int aValue)
  : LogField(aName, std::to_string(aValue))
{
}

void
InitLogging(Severity aLowest)
{
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
    std::clog,
    boost::log::keywords::auto_flush = true,
    boost::log::keywords::format =
      (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                    << " " << expr::smessage));
  boost::log::core::get()->set_filter(
    expr::attr<Severity>("Severity").or_default(Severity::Info) >= aLowest);
}

void
Log(Severity aSeverity,
    std::string_view aComponent,
    std::string_view aMessage,
    LogFields aFields)
{
  static boost::log::sources::severity_logger_mt<Severity> logger;
  BOOST_LOG_SEV(logger, aSeverity) << detail::kSeverityNames.Name(aSeverity)
                                   << " " << aComponent << ": " << aMessage <<
    [&] {
      std::string tail;
      for (const LogField& field : aFields) {
        tail += " " + field.m_name + "=" + detail::QuoteIfNeeded(field.m_value);
      }
      return tail;
    }();
}

void
LogInfo(std::string_view aComponent,
        std::string_view aMessage,
        LogFields aFields)
{
  Log(Severity::Info, aComponent, aMessage, aFields);
}
void
LogWarning(std::string_view aComponent,
           std::string_view aMessage,
           LogFields aFields)
{
  Log(Severity::Warning, aComponent, aMessage, aFields);
}
void
LogError(std::string_view aComponent,
         std::string_view aMessage,
         LogFields aFields)
{
  Log(Severity::Error, aComponent, aMessage, aFields);
}

} // namespace chivefront::base
