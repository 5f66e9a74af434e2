// Converts Boost's string views to std::string_view.
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
