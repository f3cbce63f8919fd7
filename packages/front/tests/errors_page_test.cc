// Holds docs/ERRORS.md to the table of codes.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <string>

#include "hibiscuspick/base/code.h"

namespace hibiscuspick {

BOOST_AUTO_TEST_CASE(the_errors_page_lists_the_table_of_codes) {
  std::ifstream page(HP_DOCS "/ERRORS.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    const bool is_row =
        line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9';
    if (!is_row) continue;
    const size_t end =
        line.find(" | ", line.find(" | ", line.find(" | ") + 1) + 1);
    BOOST_TEST(line.size() > end + 5, "what to do is missing: " << line);
    BOOST_TEST(rows.insert(line.substr(0, end)).second);
  }
  for (const auto& it : CodeTable()) {
    const std::string row = "| " + std::to_string(static_cast<int>(it.code)) +
                            " | " + std::string(it.name) + " | " +
                            std::string(it.meaning);
    BOOST_TEST(rows.erase(row) == 1U, "missing or different: " << row);
  }
  BOOST_TEST(rows.empty());
}

}  // namespace hibiscuspick
