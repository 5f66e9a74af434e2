// Tables of the names under which enumerators are printed and parsed.
//
//   enum class Colour { Red, Green };
//   inline constexpr base::NameTable<Colour, 2> kColourNames{
//     { { Colour::Red, "red" }, { Colour::Green, "green" } } };
//   kColourNames.Name(Colour::Red);      // "red"
//   kColourNames.Find("green");          // Colour::Green
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chivefront::base {

template<typename Enum, size_t N>
struct NameTable
{
  struct Row
  {
    Enum m_value;
    std::string_view m_name;
  };

  std::array<Row, N> m_rows;

  // The name of aValue, or "unknown" for a value outside the table.
  constexpr std::string_view Name(Enum aValue) const
  {
    for (const Row& row : m_rows) {
      if (row.m_value == aValue) {
        return row.m_name;
      }
    }
    return "unknown";
  }

  // The enumerator named aName, or nothing when the table has no such name.
  constexpr std::optional<Enum> Find(std::string_view aName) const
  {
    for (const Row& row : m_rows) {
      if (row.m_name == aName) {
        return row.m_value;
      }
    }
    return std::nullopt;
  }
};

} // namespace chivefront::base
