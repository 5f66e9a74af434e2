// HTTP requests and responses, without any type of an HTTP library.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivefront::net {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// HttpRequest and HttpResponse have constructors because GCC 12 destroys a
// temporary of an aggregate type twice when it is an argument of a co_await
// expression.
struct HttpRequest
{
  HttpRequest() = default;
  HttpRequest(std::string aMethod, std::string aTarget)
    : m_method(std::move(aMethod))
    , m_target(std::move(aTarget))
  {
  }

  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;

  // The first value of a header, by case-insensitive name; empty when absent.
  std::string_view Header(std::string_view aName) const;
  // The path without the query.
  std::string_view Path() const;
};

struct HttpResponse
{
  HttpResponse() = default;
  HttpResponse(int aStatus,
               std::string aContentType,
               HttpHeaders aHeaders,
               std::string aBody)
    : m_status(aStatus)
    , m_contentType(std::move(aContentType))
    , m_headers(std::move(aHeaders))
    , m_body(std::move(aBody))
  {
  }

  int m_status = 200;
  std::string m_contentType = "application/json";
  HttpHeaders m_headers;
  std::string m_body;
};

// Whether aStatus is one of HTTP, interim ones included. Parsers also accept
// other numbers of three digits.
constexpr bool
IsHttpStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 600;
}

// Whether an answer with aStatus is followed by the final one.
constexpr bool
IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

// The first value of a header, by case-insensitive name; empty when absent.
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

} // namespace chivefront::net
