// Text tables with aligned columns.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chivefront::ctl {

class Table
{
public:
  explicit Table(std::vector<std::string> aHeader);

  // Cells are in the order of the header. Missing cells are printed empty,
  // surplus cells are dropped.
  void AddRow(std::vector<std::string> aRow);
  bool Empty() const { return m_rows.empty(); }
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::string> m_header;
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace chivefront::ctl
