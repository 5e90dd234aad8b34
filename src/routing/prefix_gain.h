// Learns which fraction of the prefill time that a cached prefix should save is
// really saved. Does no I/O and reads no clock.
//
// Fits the observed time to the first event, by least squares, to the prefill
// time of the whole prompt, the load of the server and the predicted saving.
// The first two are fitted as well because prompts with a cached prefix are
// longer than others, and servers that hold one are chosen at a higher load.
#pragma once

#include <array>
#include <cstddef>

namespace mangohold {

class PrefixGain {
 public:
  // One request whose response has started.
  struct Sample {
    double prefill_seconds = 0;  // predicted, of the whole prompt
    double load = 0;             // requests in progress when it was sent
    double saved_seconds = 0;    // predicted at a gain of 1
    double observed_seconds = 0;
  };

  void Add(const Sample& sample);
  // 0 to 1. A low estimate: what the samples support with high confidence.
  double gain() const { return gain_; }

 private:
  static constexpr std::size_t kInputs = 3;
  // The inputs of a sample, then its result.
  using Values = std::array<double, kInputs + 1>;

  void Update();

  int samples_ = 0;
  int with_saving_ = 0;
  int without_saving_ = 0;
  Values means_{};
  std::array<Values, kInputs + 1> covariances_{};
  double gain_ = kInitialGain;

  // Assumed until there are enough samples of both kinds.
  static constexpr double kInitialGain = 0.5;
};

}  // namespace mangohold
