#include "hibiscuspick/base/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace hibiscuspick {
namespace {

// A pipe that polls as writable takes so many bytes without blocking
// (PIPE_BUF).
constexpr size_t kLongestLine = 4096;

}  // namespace

bool LineSink::HasRoom() const {
  pollfd wait{fd_, POLLOUT, 0};
  const auto time = left_out_ > 0 ? 0 : static_cast<int>(kReaderTime.count);
  return poll(&wait, 1, time) == 1 && (wait.revents & POLLOUT) != 0;
}

void LineSink::Write(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t text;
  formatter_->format(message, text);
  size_t length = text.size();
  if (length > kLongestLine) {
    length = kLongestLine;
    text[length - 1] = '\n';
  }
  // Nobody is there to be told of a failure to write a log line.
  if (write(fd_, text.data(), length) < 0) ++left_out_;
}

void LineSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!HasRoom()) {
    ++left_out_;
    return;
  }
  if (left_out_ > 0) {
    const std::string text =
        std::to_string(left_out_) + " lines left out: nobody read them";
    left_out_ = 0;
    Write(spdlog::details::log_msg(message.logger_name, spdlog::level::warn,
                                   text));
  }
  Write(message);
}

bool TakeLine(LineBudget* budget, Millis now) {
  constexpr double kSecond = 1000;
  const double filled =
      (now - budget->filled).count * budget->a_second / kSecond;
  budget->left = std::min(budget->left + filled, budget->most_at_once);
  budget->filled = now;
  if (budget->left < 1) {
    ++budget->left_out;
    return false;
  }
  --budget->left;
  return true;
}

}  // namespace hibiscuspick
