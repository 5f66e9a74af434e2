// Layout of text tables.
#include "chivefront/ctl/table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace chivefront::ctl {
namespace detail {

// Replaces control characters by spaces: in a cell they could move the cursor
// or hide other cells.
std::string
ReplaceControlCharacters(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](char aChar) { return static_cast<unsigned char>(aChar) < ' '; },
    ' ');
  return aText;
}

// Counts the UTF-8 characters, by the bytes that start one: names may hold
// non-ASCII letters.
size_t
Width(const std::string& aText)
{
  return static_cast<size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aChar) {
      return (static_cast<unsigned char>(aChar) & 0xc0) != 0x80;
    }));
}

} // namespace detail

Table::Table(std::vector<std::string> aHeader)
  : m_header(std::move(aHeader))
{
}

void
Table::AddRow(std::vector<std::string> aRow)
{
  aRow.resize(m_header.size());
  for (std::string& cell : aRow) {
    cell = detail::ReplaceControlCharacters(std::move(cell));
  }
  m_rows.push_back(std::move(aRow));
}

void
Table::Print(std::ostream& aOut) const
{
  std::vector<size_t> widths;
  for (size_t column = 0; column < m_header.size(); ++column) {
    size_t width = detail::Width(m_header[column]);
    for (const auto& row : m_rows) {
      width = std::max(width, detail::Width(row[column]));
    }
    widths.push_back(width);
  }
  const auto print = [&](const std::vector<std::string>& aRow) {
    std::string line;
    for (size_t column = 0; column < aRow.size(); ++column) {
      line += aRow[column];
      line.append(widths[column] - detail::Width(aRow[column]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  };
  print(m_header);
  for (const auto& row : m_rows) {
    print(row);
  }
}

} // namespace chivefront::ctl
