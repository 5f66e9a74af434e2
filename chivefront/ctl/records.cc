// Parsing of log records.
#include "chivefront/ctl/records.h"

#include <charconv>

#include <boost/json/parse.hpp>

namespace chivefront::ctl {

std::optional<boost::json::object>
ParseRecord(std::string_view aLine)
{
  const size_t begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string text(aLine.substr(begin));
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string
StringMember(const boost::json::object& aRecord, const char* aName)
{
  const auto* value = aRecord.if_contains(aName);
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string()
                         : std::string(text->begin(), text->end());
}

uint64_t
NumberMember(const boost::json::object& aRecord, const char* aName)
{
  const auto* value = aRecord.if_contains(aName);
  if (value == nullptr) {
    return 0;
  }
  if (value->is_number()) {
    boost::json::error_code notNumber;
    const auto number = value->to_number<uint64_t>(notNumber);
    return notNumber ? 0 : number;
  }
  uint64_t number = 0;
  const std::string text = StringMember(aRecord, aName);
  (void)std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace chivefront::ctl
