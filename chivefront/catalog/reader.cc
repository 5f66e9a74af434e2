// Typed access to the members of a JSON object.
#include "chivefront/catalog/reader.h"

#include <boost/json/value.hpp>

namespace chivefront::catalog::detail {
namespace {

std::string
RangeText(const std::string& aLowest, const std::string& aHighest)
{
  return "from " + aLowest + " to " + aHighest;
}

} // namespace

std::string
Reader::PathOf(std::string_view aName) const
{
  const bool nested = m_path.find(": ") != std::string::npos;
  return m_path + (nested ? "." : ": ") + std::string(aName);
}

void
Reader::Error(std::string_view aName, std::string aProblem)
{
  m_errors.push_back({ PathOf(aName), std::move(aProblem) });
}

const boost::json::value*
Reader::Find(std::string_view aName, Need aNeed)
{
  m_read.emplace(aName);
  const boost::json::value* value = m_object.if_contains(aName);
  if (value == nullptr && aNeed == Need::Required) {
    Error(aName, "is missing");
  }
  return value;
}

void
Reader::Text(std::string_view aName, std::string& aTarget, Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return;
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr || text->empty()) {
    Error(aName, "must be a non-empty string");
    return;
  }
  aTarget = std::string(text->begin(), text->end());
}

void
Reader::Boolean(std::string_view aName, bool& aTarget, Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return;
  }
  if (const bool* flag = value->if_bool()) {
    aTarget = *flag;
  } else {
    Error(aName, "must be true or false");
  }
}

void
Reader::Number(std::string_view aName,
               double& aTarget,
               double aLowest,
               double aHighest,
               Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const double number = value->to_number<double>(error);
  if (error || number < aLowest || number > aHighest) {
    Error(aName,
          "must be a number " +
            RangeText(std::to_string(aLowest), std::to_string(aHighest)));
    return;
  }
  aTarget = number;
}

void
Reader::ReadInteger(std::string_view aName,
                    int64_t& aTarget,
                    int64_t aLowest,
                    int64_t aHighest,
                    Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const int64_t number = value->to_number<int64_t>(error);
  if (error || value->is_double() || number < aLowest || number > aHighest) {
    Error(aName,
          "must be a whole number " +
            RangeText(std::to_string(aLowest), std::to_string(aHighest)));
    return;
  }
  aTarget = number;
}

void
Reader::Duration(std::string_view aName,
                 base::Millis& aTarget,
                 int64_t aLowest,
                 int64_t aHighest,
                 Need aNeed)
{
  int64_t count = aTarget.Count();
  ReadInteger(aName, count, aLowest, aHighest, aNeed);
  aTarget = base::Millis(count);
}

void
Reader::StringSet(std::string_view aName,
                  std::set<std::string>& aTarget,
                  Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return;
  }
  const boost::json::array* items = value->if_array();
  if (items == nullptr) {
    Error(aName, "must be a list of strings");
    return;
  }
  for (const boost::json::value& item : *items) {
    const boost::json::string* text = item.if_string();
    if (text == nullptr || text->empty()) {
      Error(aName, "must be a list of non-empty strings");
      return;
    }
    aTarget.emplace(text->begin(), text->end());
  }
}

void
Reader::IntegerList(std::string_view aName,
                    std::vector<uint32_t>& aTarget,
                    int64_t aLowest,
                    int64_t aHighest)
{
  const boost::json::value* value = Find(aName, Need::Required);
  if (value == nullptr) {
    return;
  }
  const boost::json::array* items = value->if_array();
  if (items == nullptr || items->empty()) {
    Error(aName, "must be a non-empty list of whole numbers");
    return;
  }
  for (const boost::json::value& item : *items) {
    boost::json::error_code error;
    const int64_t number = item.to_number<int64_t>(error);
    if (error || number < aLowest || number > aHighest) {
      Error(aName,
            "must hold whole numbers " +
              RangeText(std::to_string(aLowest), std::to_string(aHighest)));
      return;
    }
    aTarget.push_back(static_cast<uint32_t>(number));
  }
}

const boost::json::object*
Reader::Object(std::string_view aName, Need aNeed)
{
  const boost::json::value* value = Find(aName, aNeed);
  if (value == nullptr) {
    return nullptr;
  }
  const boost::json::object* object = value->if_object();
  if (object == nullptr) {
    Error(aName, "must be an object");
  }
  return object;
}

void
Reader::RejectUnreadMembers()
{
  for (const auto& member : m_object) {
    const std::string_view name(member.key().data(), member.key().size());
    if (m_read.find(name) == m_read.end()) {
      Error(name, "is not known");
    }
  }
}

} // namespace chivefront::catalog::detail
