// Process settings from flags and environment variables, checked at start.
//
//   base::Settings settings("chivefront-entry", "Accepts callers' requests.");
//   settings.AddText("name", "Name of this process.").Required();
//   settings.AddEndpoint("listen", "Internal address.", "127.0.0.1:0");
//   settings.AddInteger("max-body-bytes", "...", 1048576, 1024, 1 << 30);
//   if (auto code = settings.Parse(argc, argv)) return *code;
//   settings.Text("name");
//
// A setting --max-body-bytes is also read from CHIVEFRONT_MAX_BODY_BYTES; the
// flag takes precedence. Parse prints all errors, not only the first, and then
// returns kExitBadSettings.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefront::base {

inline constexpr int kExitBadSettings = 2;

// IP address and TCP port.
struct Endpoint
{
  std::string m_address;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
  std::string ToString() const;
  // Accepts "127.0.0.1:80" and "[::1]:80". Host names are not accepted, because
  // processes connect to each other by IP address only.
  static std::optional<Endpoint> Parse(std::string_view aText);
};

class Settings
{
public:
  // Checks the text of a value. Returns an empty string when the value is
  // valid, else what is wrong with it.
  using Check = std::function<std::string(const std::string&)>;

  class Option
  {
  public:
    Option& Required();
    Option& WithCheck(Check aCheck);

  private:
    friend class Settings;
    std::string m_help;
    std::string m_value;
    bool m_required = false;
    bool m_flag = false;
    Check m_check;
  };

  Settings(std::string aProgram, std::string aDescription);
  ~Settings();

  Option& AddText(const std::string& aName,
                  const std::string& aHelp,
                  const std::string& aDefault = {});
  Option& AddInteger(const std::string& aName,
                     const std::string& aHelp,
                     int64_t aDefault,
                     int64_t aLowest,
                     int64_t aHighest);
  Option& AddEndpoint(const std::string& aName,
                      const std::string& aHelp,
                      const std::string& aDefault = {});
  // Comma-separated endpoints.
  Option& AddEndpoints(const std::string& aName,
                       const std::string& aHelp,
                       const std::string& aDefault = {});
  Option& AddFlag(const std::string& aName, const std::string& aHelp);

  // Returns nothing when the process should continue, else its exit code: 0
  // after --help or --version, kExitBadSettings after errors, which are printed
  // on standard error.
  std::optional<int> Parse(int argc, const char* const* argv);

  std::string Text(const std::string& aName) const;
  int64_t Integer(const std::string& aName) const;
  Endpoint EndpointOf(const std::string& aName) const;
  std::vector<Endpoint> EndpointsOf(const std::string& aName) const;
  bool Flag(const std::string& aName) const;

  // The environment variable of a setting, e.g. CHIVEFRONT_MAX_BODY_BYTES.
  static std::string EnvironmentName(const std::string& aName);

private:
  Option& Add(const std::string& aName,
              const std::string& aHelp,
              const std::string& aDefault);
  std::vector<std::string> Errors() const;

  const std::string m_program;
  const std::string m_description;
  std::map<std::string, std::unique_ptr<Option>> m_options;
  std::vector<std::string> m_order; // as declared, for --help
};

} // namespace chivefront::base
