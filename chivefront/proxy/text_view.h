// Boost's string views as the standard's.
#pragma once

#include <string_view>

namespace chivefront::proxy::detail {

template<typename View>
std::string_view
ToView(const View& aText)
{
  return { aText.data(), aText.size() };
}

} // namespace chivefront::proxy::detail
