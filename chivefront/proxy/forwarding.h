// Text of a request as an upstream gets it, and of the head of an answer as the
// caller gets it: what concerns one connection only is left out. Pure.
#pragma once

#include <string>

#include "chivefront/proxy/caller_connection.h"
#include "chivefront/proxy/header_codec.h"
#include "chivefront/proxy/upstream_connection.h"

namespace chivefront::proxy {

// The whole request, with the lines that aHeaderCodec writes for aMetadata in
// place of those that only the proxy may set.
std::string
ForwardedRequest(const CallerRequest& aRequest,
                 const HeaderCodec& aHeaderCodec,
                 const ForwardMetadata& aMetadata);

// Status line and header lines, without the empty line at the end.
std::string
ForwardedHead(const UpstreamConnection::Parser::value_type& aHead);

} // namespace chivefront::proxy
