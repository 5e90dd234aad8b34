// Writes what a case sees, line by line, with the time since its begin.
#pragma once

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace mangohold::review {

class Recorder {
 public:
  explicit Recorder(const std::string& file) : out_(file) {}

  void Note(const std::string& line) {
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", Seconds());
    out_ << time.data() << line << std::endl;
  }
  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - begin_).count();
  }

 private:
  using Clock = std::chrono::steady_clock;

  std::ofstream out_;
  Clock::time_point begin_ = Clock::now();
};

}  // namespace mangohold::review
