#include "hibiscuspick/edge/account_metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace hibiscuspick::edge {
namespace {

std::string TextOf(const AccountMetrics& metrics) {
  return metrics.Text([](const auto&) { return 0.5; });
}

std::string AdmittedLine(const std::string& account, int count) {
  return "hibiscuspick_edge_account_requests_total{account=\"" + account +
         "\",event=\"admitted\"} " + std::to_string(count) + "\n";
}

// Failure: a label for each of 10,000 accounts.
BOOST_AUTO_TEST_CASE(TenAccountsAreNamed) {
  AccountMetrics metrics;
  BOOST_TEST(TextOf(metrics).empty());
  constexpr int kAccounts = 30;
  const auto count_all = [&](Millis now) {
    for (int i = 0; i < kAccounts; ++i) {
      const ClientAccountId account("account-" + std::to_string(i));
      for (int n = 0; n <= i; ++n) {
        metrics.Count(account, AccountEvent::kAdmitted, now);
      }
    }
  };
  count_all(Millis(20000));
  count_all(Millis(40000));
  const auto text = TextOf(metrics);
  // The ten with the highest load are named from the ranking on; what they had
  // before stays with the others, so that no counter decreases.
  BOOST_TEST(text.find(AdmittedLine("account-29", 30)) != std::string::npos);
  BOOST_TEST(text.find(AdmittedLine("account-20", 21)) != std::string::npos);
  BOOST_TEST(text.find("account-19") == std::string::npos);
  const int all = 2 * (kAccounts * (kAccounts + 1) / 2);
  int named = 10 * (21 + 30) / 2;
  for (int i = 0; i < 10; ++i) named += i + 1;  // Named in the first period.
  BOOST_TEST(text.find(AdmittedLine("", all - named)) != std::string::npos);
  BOOST_TEST(text.find("hibiscuspick_edge_account_tokens{account=\"\"} 10\n") !=
             std::string::npos);
}

}  // namespace
}  // namespace hibiscuspick::edge
