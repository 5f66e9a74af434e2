// Structured logs for operators: the name of a component, a short sentence,
// and named fields.
//
//   base::LogInfo("entry", "listening", { { "address", address } });
//
// prints  2026-01-02T03:04:05.678 info entry: listening address=127.0.0.1:80
// on standard error. Boost.Log stays inside log.cc, because its headers take
// seconds to compile.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace chivefront::base {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error,
};

struct LogField
{
  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, const char* aValue);
  LogField(std::string_view aName, const std::string& aValue);
  LogField(std::string_view aName, int64_t aValue);
  LogField(std::string_view aName, uint64_t aValue);
  LogField(std::string_view aName, int aValue);

  std::string m_name;
  std::string m_value;
};

using LogFields = std::initializer_list<LogField>;

// Sets up the output, once per process. Records below aLowest are dropped.
void
InitLogging(Severity aLowest);

void
Log(Severity aSeverity,
    std::string_view aComponent,
    std::string_view aMessage,
    LogFields aFields = {});

void
LogInfo(std::string_view aComponent,
        std::string_view aMessage,
        LogFields aFields = {});
void
LogWarning(std::string_view aComponent,
           std::string_view aMessage,
           LogFields aFields = {});
void
LogError(std::string_view aComponent,
         std::string_view aMessage,
         LogFields aFields = {});

} // namespace chivefront::base
