#include "hibiscuspick/base/log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/null_sink.h>
#include <unistd.h>

#include <array>
#include <string_view>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/log_sink.h"

namespace hibiscuspick {
namespace {

constexpr std::array<std::string_view, 10> kNames = {
    "daemon",  "front",     "route",  "limit",    "backend",
    "members", "placement", "config", "platform", "record"};

constexpr size_t kQueueLines = 8192;

using Loggers = std::array<std::shared_ptr<spdlog::logger>, kNames.size()>;

Loggers MakeSilent() {
  Loggers loggers;
  const auto sink = std::make_shared<spdlog::sinks::null_sink_mt>();
  for (size_t i = 0; i < kNames.size(); ++i) {
    loggers[i] = std::make_shared<spdlog::logger>(std::string(kNames[i]), sink);
    loggers[i]->set_level(spdlog::level::off);
  }
  return loggers;
}

Loggers& AllLoggers() {
  static Loggers loggers = MakeSilent();
  return loggers;
}

// Writes the text as a JSON string. Texts hold names and messages from outside,
// quotes among them; written plainly, one would break the line for every
// collector that reads it.
class JsonText : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&,
              spdlog::memory_buf_t& out) override {
    const std::string_view text(message.payload.data(), message.payload.size());
    const std::string quoted = DumpJson(Json(text));
    out.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<spdlog::custom_flag_formatter> clone() const override {
    return std::make_unique<JsonText>();
  }
};

constexpr char kJsonTextFlag = '*';

std::string PatternOf(LogFormat format, const std::string& instance) {
  if (format == LogFormat::kText) {
    return "%Y-%m-%dT%H:%M:%S.%eZ " + instance + " %l %n: %v";
  }
  return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","instance":")" + instance +
         R"(","level":"%l","part":"%n","text":%*})";
}

}  // namespace

std::string_view PartName(Part part) {
  return kNames[static_cast<size_t>(part)];
}

std::unique_ptr<spdlog::formatter> MakeLogFormatter(
    LogFormat format, const std::string& instance) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>(
      spdlog::pattern_time_type::utc);
  formatter->add_flag<JsonText>(kJsonTextFlag);
  formatter->set_pattern(PatternOf(format, instance));
  return formatter;
}

void StartLogs(LogFormat format, const std::string& level,
               const std::string& instance, LogStream stream) {
  spdlog::init_thread_pool(kQueueLines, 1);
  const int fd =
      stream == LogStream::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  const auto sink = std::make_shared<LineSink>(fd);
  for (size_t i = 0; i < kNames.size(); ++i) {
    auto logger = std::make_shared<spdlog::async_logger>(
        std::string(kNames[i]), sink, spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_formatter(MakeLogFormatter(format, instance));
    logger->set_level(spdlog::level::from_str(level));
    AllLoggers()[i] = std::move(logger);
  }
}

void StopLogs() {
  for (auto& it : AllLoggers()) it->flush();
  AllLoggers() = MakeSilent();
  spdlog::shutdown();
}

spdlog::logger& Log(Part part) {
  return *AllLoggers()[static_cast<size_t>(part)];
}

}  // namespace hibiscuspick
