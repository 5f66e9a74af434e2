// Looks up HTTP headers by name.
#include "chivefront/net/http.h"

#include <algorithm>
#include <cctype>

namespace chivefront::net {
namespace detail {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aFirst, unsigned char aSecond) {
                      return std::tolower(aFirst) == std::tolower(aSecond);
                    });
}

} // namespace detail

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (detail::EqualIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  return FindHeader(m_headers, aName);
}

std::string_view
HttpRequest::Path() const
{
  const std::string_view target = m_target;
  return target.substr(0, target.find('?'));
}

} // namespace chivefront::net
