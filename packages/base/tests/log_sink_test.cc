#include "hibiscuspick/base/log_sink.h"

#include <fcntl.h>
#include <spdlog/pattern_formatter.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <string>

namespace hibiscuspick {
namespace {

struct Pipe {
  int ends[2] = {-1, -1};
  Pipe() {
    if (pipe(ends) != 0) throw std::runtime_error("no pipe");
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  // All that is in it now.
  std::string Drain() const {
    std::string all;
    char buf[65536];
    ssize_t n = 0;
    while ((n = read(ends[0], buf, sizeof(buf))) > 0) {
      all.append(buf, static_cast<size_t>(n));
    }
    return all;
  }
};

spdlog::details::log_msg Line(const std::string& text) {
  return {"part", spdlog::level::info, text};
}

// Whoever collects the logs stands still and the pipe is full. A process that
// waited for it would hold up its own end, and be killed in the middle of a
// planned stop.
BOOST_AUTO_TEST_CASE(AReaderThatStandsStillHoldsNothingUp) {
  const Pipe pipe;
  LineSink sink(pipe.ends[1]);
  sink.set_formatter(std::make_unique<spdlog::pattern_formatter>("%v"));
  const std::string text(1000, 'x');
  constexpr int kLines = 500;
  const Millis began = SteadyNow();
  for (int i = 0; i < kLines; ++i) sink.log(Line(text));
  BOOST_TEST((SteadyNow() - began < Millis(5000)));
  const std::string first = pipe.Drain();
  const auto kept = std::count(first.begin(), first.end(), '\n');
  BOOST_TEST(kept < kLines);
  sink.log(Line("after"));
  BOOST_TEST(pipe.Drain() == std::to_string(kLines - kept) +
                                 " lines left out: nobody read them\nafter\n");
}

// A line longer than a pipe takes at once would block in the middle.
BOOST_AUTO_TEST_CASE(LongLinesAreCut) {
  const Pipe pipe;
  LineSink sink(pipe.ends[1]);
  sink.set_formatter(std::make_unique<spdlog::pattern_formatter>("%v"));
  sink.log(Line(std::string(10000, 'y')));
  const std::string text = pipe.Drain();
  BOOST_TEST(text.size() == 4096);
  BOOST_TEST(text.back() == '\n');
}

// Every request fails for a while. The lines stay within their budget, and the
// first one after it tells how many are missing.
BOOST_AUTO_TEST_CASE(LinesAreBoundedAndCounted) {
  LineBudget budget;
  budget.a_second = 10;
  budget.most_at_once = 5;
  budget.left = 5;
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += TakeLine(&budget, Millis(i)) ? 1 : 0;
  }
  BOOST_TEST(written == 14);
  BOOST_TEST(budget.left_out == 986);
}

}  // namespace
}  // namespace hibiscuspick
