#include "net/log_sink.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace lentilhead::net {
namespace {

/// A pipe that is read only when the test asks.
class StoppedReader {
 public:
  StoppedReader() { REQUIRE(::pipe2(this->ends.data(), O_NONBLOCK) == 0); }
  ~StoppedReader() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  [[nodiscard]] int WriteEnd() const { return this->ends[1]; }
  [[nodiscard]] std::string ReadAll() const {
    std::string all;
    std::array<char, 4096> part{};
    for (ssize_t size = 0; (size = ::read(this->ends[0], part.data(), part.size())) > 0;) {
      all.append(part.data(), static_cast<std::size_t>(size));
    }
    return all;
  }

 private:
  std::array<int, 2> ends{};
};

TEST_CASE("a stopped reader does not block the writer and dropped lines are counted") {
  const StoppedReader reader;
  LogSink sink(reader.WriteEnd(), {1000000, 64 << 10});
  const std::string line(100, 'x');
  constexpr int lines = 10000;  // far more than the pipe and the buffer hold
  for (int count = 0; count < lines; ++count) {
    sink.Append(line + "\n");
  }
  CHECK(sink.Dropped() > 0);
  std::string read = reader.ReadAll();
  for (int count = 0; count < 100; ++count) {
    sink.Flush();
    read += reader.ReadAll();
  }
  CHECK(read.size() % (line.size() + 1) == 0);
  CHECK(read.size() / (line.size() + 1) + sink.Dropped() == lines);
  CHECK(sink.TakeNewlyDropped() == sink.Dropped());
  CHECK(sink.TakeNewlyDropped() == 0);
}

// Guards against lines that a killed process has not written, and a write for each line of many.
TEST_CASE("a line is written at once unless many are logged in the second") {
  const StoppedReader reader;
  LogSink sink(reader.WriteEnd(), {1000000, 64 << 10});
  const LogSink::Time now = std::chrono::steady_clock::now();
  CHECK(sink.Admit(LogImportance::kRoutine, now));
  sink.Append("first\n");
  CHECK(reader.ReadAll() == "first\n");
  for (int count = 0; count < 1000; ++count) {
    CHECK(sink.Admit(LogImportance::kRoutine, now));
  }
  sink.Append("second\n");
  CHECK(reader.ReadAll().empty());
  sink.Flush();
  CHECK(reader.ReadAll() == "second\n");
}

TEST_CASE("the rate is limited and routine lines are dropped once half of it is used") {
  const StoppedReader reader;
  LogSink sink(reader.WriteEnd(), {100, 64 << 10});
  const LogSink::Time now = std::chrono::steady_clock::now();
  int routine = 0;
  int notable = 0;
  for (int count = 0; count < 1000; ++count) {
    routine += sink.Admit(LogImportance::kRoutine, now) ? 1 : 0;
  }
  for (int count = 0; count < 1000; ++count) {
    notable += sink.Admit(LogImportance::kNotable, now) ? 1 : 0;
  }
  CHECK(routine == 50);
  CHECK(notable == 50);
  CHECK(sink.Admit(LogImportance::kRoutine, now + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace lentilhead::net
