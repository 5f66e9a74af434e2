// Reads catalogue files and compares two sets of entries.
#include "chivefront/catalog/catalog.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::catalog {
namespace detail {

// Objects compare equal regardless of the order of their members.
bool
SameJson(const std::string& aLeft, const std::string& aRight)
{
  if (aLeft == aRight) {
    return true;
  }
  boost::json::error_code leftError;
  boost::json::error_code rightError;
  const auto left = boost::json::parse(aLeft, leftError);
  const auto right = boost::json::parse(aRight, rightError);
  return !leftError && !rightError && left == right;
}

} // namespace detail

std::vector<EntryChange>
Diff(const Entries& aBefore, const Entries& aAfter)
{
  std::vector<EntryChange> changes;
  for (const auto& [key, after] : aAfter) {
    const auto before = aBefore.find(key);
    if (before == aBefore.end()) {
      changes.push_back({ key, "", after });
    } else if (!detail::SameJson(before->second, after)) {
      changes.push_back({ key, before->second, after });
    }
  }
  for (const auto& [key, before] : aBefore) {
    if (aAfter.find(key) == aAfter.end()) {
      changes.push_back({ key, before, "" });
    }
  }
  return changes;
}

absl::Status
ParseFile(std::string_view aText, Entries& aEntries)
{
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !value.is_object()) {
    return base::MakeError(base::ErrorKind::Invalid,
                           "the file is not a JSON object: " + error.message());
  }
  for (const auto& member : value.get_object()) {
    aEntries[std::string(member.key())] =
      boost::json::serialize(member.value());
  }
  return absl::OkStatus();
}

} // namespace chivefront::catalog
