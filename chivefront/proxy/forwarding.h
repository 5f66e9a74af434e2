// Creates the request that is sent to an upstream and the response head that is
// sent to the caller. Hop-by-hop headers are left out. Pure.
#pragma once

#include <string>

#include "chivefront/proxy/caller_connection.h"
#include "chivefront/proxy/header_codec.h"
#include "chivefront/proxy/upstream_connection.h"

namespace chivefront::proxy {

// Returns the whole request. Headers that only the proxy may set are replaced
// by those that aHeaderCodec writes for aMetadata.
std::string
MakeForwardedRequest(const CallerRequest& aRequest,
                     const HeaderCodec& aHeaderCodec,
                     const ForwardMetadata& aMetadata);

// Returns status line and header lines, without the final empty line.
std::string
MakeForwardedHead(const UpstreamConnection::Parser::value_type& aHead);

} // namespace chivefront::proxy
