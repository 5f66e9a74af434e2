// Execution of the duties' commands, and their JSON text.
#include "chivefront/site/duty_state.h"

#include <algorithm>
#include <stdexcept>

#include <boost/json.hpp>

namespace chivefront::site {
namespace json = boost::json;
namespace {

using Counts = std::map<std::string, uint64_t>;

json::object
CountsToJson(const Counts& aCounts)
{
  json::object counts;
  for (const auto& [team, count] : aCounts) {
    counts[team] = count;
  }
  return counts;
}

Counts
CountsOf(const json::object& aFields)
{
  Counts counts;
  for (const auto& field : aFields.at("counts").as_object()) {
    counts[std::string(field.key())] = field.value().to_number<uint64_t>();
  }
  return counts;
}

uint64_t
NumberOf(const json::object& aFields, const char* aName)
{
  return aFields.at(aName).to_number<uint64_t>();
}

std::string
TextOf(const json::object& aFields, const char* aName)
{
  return json::value_to<std::string>(aFields.at(aName));
}

duty::Duty
DutyOf(const json::object& aFields)
{
  const auto duty = duty::kDutyNames.Find(TextOf(aFields, "duty"));
  if (!duty) {
    throw std::invalid_argument("unknown duty");
  }
  return *duty;
}

std::string
NameOf(duty::Duty aDuty)
{
  return std::string(duty::kDutyNames.Name(aDuty));
}

} // namespace

bool
DutyState::Execute(const AcquireDuty& aCommand)
{
  duty::Holder& holder = m_holders[aCommand.m_duty];
  holder = { holder.m_token + 1, aCommand.m_host, aCommand.m_owner };
  return true;
}

bool
DutyState::Execute(const DecideUsage& aCommand)
{
  if (IsDecided(aCommand.m_usage.m_window)) {
    return false;
  }
  m_windows[aCommand.m_usage.m_window] = { aCommand.m_usage.m_counts, false };
  Trim();
  return true;
}

bool
DutyState::Execute(const ConfirmUsage& aCommand)
{
  const auto found = m_windows.find(aCommand.m_window);
  if (found == m_windows.end() || found->second.m_settled) {
    return false;
  }
  found->second = { {}, true };
  return true;
}

void
DutyState::Trim()
{
  const auto isWaiting = [](const auto& aItem) {
    return !aItem.second.m_settled;
  };
  const auto waiting = static_cast<size_t>(
    std::count_if(m_windows.begin(), m_windows.end(), isWaiting));
  if (waiting > kMaxUndeliveredWindows) {
    std::find_if(m_windows.begin(), m_windows.end(), isWaiting)->second = {
      {}, true
    };
    ++m_givenUp;
  }
  while (m_windows.size() > kMaxKnownWindows) {
    const auto oldest = m_windows.begin();
    m_givenUp += oldest->second.m_settled ? 0 : 1;
    m_firstWindow = oldest->first + 1;
    m_windows.erase(oldest);
  }
}

bool
DutyState::IsDecided(uint64_t aWindow) const
{
  return aWindow < m_firstWindow || m_windows.count(aWindow) > 0;
}

std::vector<duty::WindowUsage>
DutyState::Undelivered() const
{
  std::vector<duty::WindowUsage> undelivered;
  for (const auto& [number, window] : m_windows) {
    if (!window.m_settled) {
      undelivered.push_back({ number, window.m_counts });
    }
  }
  return undelivered;
}

json::object
DutyState::ToJson() const
{
  json::array holders;
  for (const auto& [duty, holder] : m_holders) {
    holders.push_back({ { "duty", NameOf(duty) },
                        { "token", holder.m_token },
                        { "host", holder.m_host },
                        { "owner", holder.m_owner } });
  }
  json::array windows;
  for (const auto& [number, window] : m_windows) {
    windows.push_back({ { "window", number },
                        { "settled", window.m_settled },
                        { "counts", CountsToJson(window.m_counts) } });
  }
  return { { "holders", std::move(holders) },
           { "windows", std::move(windows) },
           { "first_window", m_firstWindow },
           { "given_up", m_givenUp } };
}

DutyState
DutyState::Restore(const json::object& aObject)
{
  DutyState state;
  for (const json::value& item : aObject.at("holders").as_array()) {
    const json::object& fields = item.as_object();
    state.m_holders[DutyOf(fields)] = { NumberOf(fields, "token"),
                                        TextOf(fields, "host"),
                                        NumberOf(fields, "owner") };
  }
  for (const json::value& item : aObject.at("windows").as_array()) {
    const json::object& fields = item.as_object();
    state.m_windows[NumberOf(fields, "window")] = {
      CountsOf(fields), fields.at("settled").as_bool()
    };
  }
  state.m_firstWindow = NumberOf(aObject, "first_window");
  state.m_givenUp = NumberOf(aObject, "given_up");
  return state;
}

json::object
ToJson(const AcquireDuty& aCommand)
{
  return { { "acquire_duty",
             { { "duty", NameOf(aCommand.m_duty) },
               { "host", aCommand.m_host },
               { "owner", aCommand.m_owner } } } };
}

json::object
ToJson(const DecideUsage& aCommand)
{
  return { { "decide_usage",
             { { "window", aCommand.m_usage.m_window },
               { "counts", CountsToJson(aCommand.m_usage.m_counts) } } } };
}

json::object
ToJson(const ConfirmUsage& aCommand)
{
  return { { "confirm_usage", { { "window", aCommand.m_window } } } };
}

AcquireDuty
AcquireDutyOf(const json::object& aFields)
{
  return { DutyOf(aFields),
           TextOf(aFields, "host"),
           NumberOf(aFields, "owner") };
}

DecideUsage
DecideUsageOf(const json::object& aFields)
{
  return { { NumberOf(aFields, "window"), CountsOf(aFields) } };
}

ConfirmUsage
ConfirmUsageOf(const json::object& aFields)
{
  return { NumberOf(aFields, "window") };
}

} // namespace chivefront::site
