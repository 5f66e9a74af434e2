// Copies heads of requests and responses without hop-by-hop headers.
#include "chivefront/proxy/forwarding.h"

#include "chivefront/proxy/text_view.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

// Headers that apply to one connection only.
bool
IsHopByHop(http::field aName)
{
  switch (aName) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

template<typename Field>
void
AppendField(const Field& aField, std::string& aText)
{
  aText += ToView(aField.name_string());
  aText += ": ";
  aText += ToView(aField.value());
  aText += "\r\n";
}

bool
HasBody(const CallerRequest& aRequest)
{
  return aRequest.body().size() > 0 || aRequest.method() == http::verb::post ||
         aRequest.method() == http::verb::put;
}

} // namespace detail

std::string
MakeForwardedRequest(const CallerRequest& aRequest,
                     const HeaderCodec& aHeaderCodec,
                     const ForwardMetadata& aMetadata)
{
  std::string text;
  constexpr size_t kTypicalHeadBytes = 1024; // enough for most heads
  text.reserve(kTypicalHeadBytes + aRequest.body().size());
  text += detail::ToView(aRequest.method_string());
  text += ' ';
  text += detail::ToView(aRequest.target());
  text += " HTTP/1.1\r\n";
  for (const auto& field : aRequest) {
    if (!detail::IsHopByHop(field.name()) &&
        !aHeaderCodec.IsReserved(detail::ToView(field.name_string()))) {
      detail::AppendField(field, text);
    }
  }
  aHeaderCodec.AppendForwardHeaders(aMetadata, text);
  if (detail::HasBody(aRequest)) {
    text += "Content-Length: " + std::to_string(aRequest.body().size());
    text += "\r\n";
  }
  text += "\r\n";
  text += aRequest.body();
  return text;
}

std::string
MakeForwardedHead(const UpstreamConnection::Parser::value_type& aHead)
{
  std::string head = "HTTP/1.1 " + std::to_string(aHead.result_int()) + " ";
  head += detail::ToView(aHead.reason());
  head += "\r\n";
  for (const auto& field : aHead) {
    if (!detail::IsHopByHop(field.name())) {
      detail::AppendField(field, head);
    }
  }
  return head;
}

} // namespace chivefront::proxy
