// Settings on top of CLI11. CLI11 stops at the first bad value, so it only
// reads the values as text; this file checks all of them.
#include "chivefront/base/settings.h"

#include <CLI/CLI.hpp>

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <iostream>

namespace chivefront::base {
namespace detail {

std::optional<int64_t>
ParseInteger(std::string_view aText)
{
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end || aText.empty()) {
    return std::nullopt;
  }
  return number;
}

bool
IsAddress(const std::string& aText)
{
  in6_addr buffer{};
  return inet_pton(AF_INET, aText.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buffer) == 1;
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::string part;
  for (const char c : aText) {
    if (c == ',') {
      parts.push_back(part);
      part.clear();
    } else {
      part.push_back(c);
    }
  }
  if (!part.empty() || !parts.empty()) {
    parts.push_back(part);
  }
  return parts;
}

std::string
CheckEndpoint(const std::string& aText)
{
  return Endpoint::Parse(aText) ? std::string()
                                : "'" + aText + "' is not IP:PORT";
}

} // namespace detail

std::string
Endpoint::ToString() const
{
  const bool v6 = m_address.find(':') != std::string::npos;
  return (v6 ? "[" + m_address + "]" : m_address) + ":" +
         std::to_string(m_port);
}

std::optional<Endpoint>
Endpoint::Parse(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string address(aText.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  const auto port = detail::ParseInteger(aText.substr(colon + 1));
  constexpr int64_t kMaxPort = 65535;
  if (!port || *port < 0 || *port > kMaxPort || !detail::IsAddress(address)) {
    return std::nullopt;
  }
  return Endpoint{ address, static_cast<uint16_t>(*port) };
}

Settings::Option&
Settings::Option::Required()
{
  m_required = true;
  return *this;
}

Settings::Option&
Settings::Option::WithCheck(Check aCheck)
{
  m_check = std::move(aCheck);
  return *this;
}

Settings::Settings(std::string aProgram, std::string aDescription)
  : m_program(std::move(aProgram))
  , m_description(std::move(aDescription))
{
}
Settings::~Settings() = default;

Settings::Option&
Settings::Add(const std::string& aName,
              const std::string& aHelp,
              const std::string& aDefault)
{
  auto option = std::make_unique<Option>();
  option->m_help = aHelp;
  option->m_value = aDefault;
  m_order.push_back(aName);
  return *(m_options[aName] = std::move(option));
}

Settings::Option&
Settings::AddText(const std::string& aName,
                  const std::string& aHelp,
                  const std::string& aDefault)
{
  return Add(aName, aHelp, aDefault);
}

Settings::Option&
Settings::AddInteger(const std::string& aName,
                     const std::string& aHelp,
                     int64_t aDefault,
                     int64_t aLowest,
                     int64_t aHighest)
{
  const std::string range =
    std::to_string(aLowest) + " to " + std::to_string(aHighest);
  Option& option =
    Add(aName, aHelp + " Range " + range + ".", std::to_string(aDefault));
  return option.WithCheck([=](const std::string& aText) {
    const auto number = detail::ParseInteger(aText);
    const bool valid = number && *number >= aLowest && *number <= aHighest;
    return valid ? std::string()
                 : "'" + aText + "' is not a whole number from " + range;
  });
}

Settings::Option&
Settings::AddEndpoint(const std::string& aName,
                      const std::string& aHelp,
                      const std::string& aDefault)
{
  return Add(aName, aHelp, aDefault).WithCheck(detail::CheckEndpoint);
}

Settings::Option&
Settings::AddEndpoints(const std::string& aName,
                       const std::string& aHelp,
                       const std::string& aDefault)
{
  return Add(aName, aHelp, aDefault).WithCheck([](const std::string& aText) {
    for (const std::string& part : detail::SplitAtCommas(aText)) {
      if (std::string error = detail::CheckEndpoint(part); !error.empty()) {
        return error;
      }
    }
    return std::string();
  });
}

Settings::Option&
Settings::AddFlag(const std::string& aName, const std::string& aHelp)
{
  Option& option = Add(aName, aHelp, "");
  option.m_flag = true;
  return option;
}

std::string
Settings::EnvironmentName(const std::string& aName)
{
  std::string name = "CHIVEFRONT_";
  for (const char c : aName) {
    name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  }
  return name;
}

std::vector<std::string>
Settings::Errors() const
{
  std::vector<std::string> errors;
  for (const std::string& name : m_order) {
    const Option& option = *m_options.at(name);
    if (option.m_value.empty()) {
      if (option.m_required) {
        errors.push_back("--" + name + ": is required");
      }
      continue;
    }
    if (!option.m_check) {
      continue;
    }
    if (std::string error = option.m_check(option.m_value); !error.empty()) {
      errors.push_back("--" + name + ": " + error);
    }
  }
  return errors;
}

std::optional<int>
Settings::Parse(int argc, const char* const* argv)
{
  CLI::App app(m_description, m_program);
  app.set_version_flag("--version", m_program + " " CHIVEFRONT_VERSION);
  app.footer("Each setting is also read from the environment variable shown "
             "beside it; the flag wins.\nExit codes: 0 after a graceful "
             "shutdown, 1 after a failure, 2 for bad settings.");
  std::map<std::string, bool> flags;
  for (const std::string& name : m_order) {
    Option& option = *m_options.at(name);
    CLI::Option* added = nullptr;
    if (option.m_flag) {
      added = app.add_flag("--" + name, flags[name], option.m_help);
    } else {
      added = app.add_option("--" + name, option.m_value, option.m_help);
      added->capture_default_str();
    }
    added->envname(EnvironmentName(name));
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitBadSettings;
  }
  for (const auto& [name, set] : flags) {
    m_options.at(name)->m_value = set ? "true" : "";
  }
  const std::vector<std::string> errors = Errors();
  for (const std::string& error : errors) {
    std::cerr << m_program << ": " << error << "\n";
  }
  if (!errors.empty()) {
    return kExitBadSettings;
  }
  return std::nullopt;
}

std::string
Settings::Text(const std::string& aName) const
{
  return m_options.at(aName)->m_value;
}

int64_t
Settings::Integer(const std::string& aName) const
{
  return detail::ParseInteger(Text(aName)).value_or(0);
}

Endpoint
Settings::EndpointOf(const std::string& aName) const
{
  return Endpoint::Parse(Text(aName)).value_or(Endpoint{});
}

std::vector<Endpoint>
Settings::EndpointsOf(const std::string& aName) const
{
  std::vector<Endpoint> endpoints;
  for (const std::string& part : detail::SplitAtCommas(Text(aName))) {
    if (const auto endpoint = Endpoint::Parse(part)) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

bool
Settings::Flag(const std::string& aName) const
{
  return !Text(aName).empty();
}

} // namespace chivefront::base
