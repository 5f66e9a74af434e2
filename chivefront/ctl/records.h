// Reads the records of event and decision logs: one JSON object a line.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace chivefront::ctl {

// Returns the JSON object in aLine. A prefix that a log collector has added
// before the object is skipped. Empty when the line holds no complete object,
// for example because it was cut off.
std::optional<boost::json::object>
ParseRecord(std::string_view aLine);

// Returns the string member aName; empty when there is none.
std::string
StringMember(const boost::json::object& aRecord, const char* aName);

// Returns the number under aName, which may also be written as a string; 0 when
// there is none.
uint64_t
NumberMember(const boost::json::object& aRecord, const char* aName);

} // namespace chivefront::ctl
