// Reads the members of a JSON object and collects its errors.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "chivefront/catalog/catalog.h"

namespace chivefront::catalog::detail {

// Every function that reads a member leaves its target unchanged and adds an
// error when the member is missing (unless it is optional), has another type,
// or is out of range. Members that no call has read are errors too, so that a
// misspelt limit is not ignored.
class Reader
{
public:
  Reader(const boost::json::object& aObject,
         std::string aPath,
         std::vector<EntryError>& aErrors)
    : m_object(aObject)
    , m_path(std::move(aPath))
    , m_errors(aErrors)
  {
  }

  enum class Need
  {
    Required,
    Optional,
  };

  void Text(std::string_view aName, std::string& aTarget, Need aNeed);
  void Boolean(std::string_view aName, bool& aTarget, Need aNeed);
  void Number(std::string_view aName,
              double& aTarget,
              double aLowest,
              double aHighest,
              Need aNeed);
  template<typename T>
  void Integer(std::string_view aName,
               T& aTarget,
               int64_t aLowest,
               int64_t aHighest,
               Need aNeed)
  {
    int64_t number = static_cast<int64_t>(aTarget);
    ReadInteger(aName, number, aLowest, aHighest, aNeed);
    aTarget = static_cast<T>(number);
  }
  // Reads a whole number of milliseconds.
  void Duration(std::string_view aName,
                base::Millis& aTarget,
                int64_t aLowest,
                int64_t aHighest,
                Need aNeed);
  void StringSet(std::string_view aName,
                 std::set<std::string>& aTarget,
                 Need aNeed);
  void IntegerList(std::string_view aName,
                   std::vector<uint32_t>& aTarget,
                   int64_t aLowest,
                   int64_t aHighest);
  // A member that is an object. Null when it is missing or no object; adds an
  // error then, unless it is missing and optional.
  const boost::json::object* Object(std::string_view aName, Need aNeed);

  void Error(std::string_view aName, std::string aProblem);
  // Adds an error for each member that no call has read.
  void RejectUnreadMembers();

  // The path of a member in error messages.
  std::string PathOf(std::string_view aName) const;

private:
  const boost::json::value* Find(std::string_view aName, Need aNeed);
  void ReadInteger(std::string_view aName,
                   int64_t& aTarget,
                   int64_t aLowest,
                   int64_t aHighest,
                   Need aNeed);

  const boost::json::object& m_object;
  const std::string m_path;
  std::vector<EntryError>& m_errors;
  std::set<std::string, std::less<>> m_read;
};

} // namespace chivefront::catalog::detail
