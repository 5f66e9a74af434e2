// Closing of a connection whose peer still sends.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>

#include "chivefront/net/task.h"

namespace chivefront::net {

// Ends the sending side, and reads and drops what the peer sends for half a
// second. Closing at once would reset the connection before the peer
// has read the response. The caller closes the stream afterwards.
Task<void>
LingerBeforeClose(boost::beast::tcp_stream& aStream);

} // namespace chivefront::net
