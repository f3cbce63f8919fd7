// Compares docs/SETTINGS.md with the table of keys and the settings files.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "hibiscuspick/settings/daemon_settings.h"
#include "hibiscuspick/settings/edge_settings.h"
#include "hibiscuspick/settings/settings_tree.h"

namespace hp = hibiscuspick;
namespace hps = hibiscuspick::settings;

namespace {

std::string Page() {
  std::ifstream file(std::string(HP_DOCS) + "/SETTINGS.md");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string LevelsText(const hps::KeyRow& row) {
  std::string text;
  for (int i = 1; i <= static_cast<int>(hps::Level::kRoute); ++i) {
    const auto level = static_cast<hps::Level>(i);
    if (!IsAllowedAt(row, level)) continue;
    text += (text.empty() ? "" : ", ") + std::string(LevelName(level));
  }
  return text;
}

std::string ValuesText(const hps::KeyRow& row) {
  if (row.type == hps::KeyType::kFlag) return "true or false";
  std::string words;
  for (const auto it : ChoicesOf(row.key)) {
    words += (words.empty() ? "" : " or ") + std::string(it);
  }
  if (!words.empty()) return words;
  const std::string unit = row.type == hps::KeyType::kMillis ? " ms" : "";
  return hps::ToJson(row, row.min).dump() + " to " +
         hps::ToJson(row, row.max).dump() + unit;
}

std::string DefaultText(const hps::KeyRow& row) {
  const hp::Json value = ToJson(row, row.fallback);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// The page's line for a key.
std::string LineOf(const hps::KeyRow& row) {
  return "| `" + std::string(row.name) + "` | " + DefaultText(row) + " | " +
         ValuesText(row) + " | " + LevelsText(row) +
         (row.capped ? " (capped)" : "") + " | " + std::string(row.meaning) +
         " |";
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_page_has_one_correct_row_for_each_key) {
  std::set<std::string> lines;
  std::istringstream page(Page());
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `") && line.find("| system") != std::string::npos) {
      lines.insert(line);
    }
  }
  for (const auto& row : hps::KeyTable()) {
    BOOST_TEST(lines.contains(LineOf(row)), LineOf(row));
  }
  BOOST_TEST(lines.size() == hps::kKeyCount);
}

BOOST_AUTO_TEST_CASE(the_daemon_file_on_the_page_is_valid) {
  const std::string page = Page();
  const std::string fence = "```jsonc\n";
  const size_t begin = page.find(fence);
  BOOST_REQUIRE(begin != std::string::npos);
  const size_t start = begin + fence.size();
  const auto result = hps::ReadDaemonSettings(
      page.substr(start, page.find("```", start) - start),
      [](const std::string&) { return std::string("from the environment"); });
  BOOST_TEST(IsValid(result), hps::ToText(hps::FaultsOf(result)));
}

BOOST_AUTO_TEST_CASE(the_page_names_each_switch_for_experiments) {
  const std::string page = Page();
  for (const auto& it : hps::kMechanismNames) {
    const std::string row = "\n| `" + std::string(it.name) + "` | ";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

// The example omits some fields; the rest is validated as usual.
BOOST_AUTO_TEST_CASE(the_edge_file_on_the_page_is_valid) {
  const std::string page = Page();
  const std::string fence = "```jsonc\n";
  const size_t begin = page.find(fence, page.find("## The file of an edge"));
  BOOST_REQUIRE(begin != std::string::npos);
  const size_t start = begin + fence.size();
  const auto result = hps::ReadEdgeSettings(
      page.substr(start, page.find("```", start) - start));
  BOOST_TEST(IsValid(result), hps::ToText(hps::FaultsOf(result)));
}
