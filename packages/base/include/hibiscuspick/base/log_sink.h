// Where log lines end up, and how many there may be.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick {

// Writes lines to a descriptor and waits for its reader for kReaderTime at
// most. A collector that stands still would else hold the writing thread: the
// process couldn't end, since its last act is to write what is queued. Lines
// that find no room are counted, and the next one that does says how many.
class LineSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // How long a line waits for a reader that has kept up so far; while one
  // stands still lines don't wait at all.
  static constexpr Millis kReaderTime{50};

  explicit LineSink(int fd) : fd_(fd) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  bool HasRoom() const;
  void Write(const spdlog::details::log_msg& message);

  const int fd_;
  uint64_t left_out_ = 0;
};

// Lines of one kind: so many a second, and more at once now and then. Under
// overload each request may fail, and a line for each would cost what the
// requests need.
struct LineBudget {
  double a_second = 20;
  double most_at_once = 200;
  double left = 200;
  Millis filled{0};
  // Lines that were left out since the last that was not.
  uint64_t left_out = 0;
};

// Whether one more line may be written. If so, `left_out` is what the line is
// to tell of, and the caller sets it to 0.
bool TakeLine(LineBudget* budget, Millis now);

}  // namespace hibiscuspick
