// Records of logs: one JSON object a line.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace chivefront::ctl {

// The object in aLine, which may stand after a prefix that a collector of logs
// has added; none when there is none, as in a line that was cut off.
std::optional<boost::json::object>
ParseRecord(std::string_view aLine);

// The text under aName; empty when there is none.
std::string
StringMember(const boost::json::object& aRecord, const char* aName);

// The number under aName, also one written as text; 0 when there is none.
uint64_t
NumberMember(const boost::json::object& aRecord, const char* aName);

} // namespace chivefront::ctl
