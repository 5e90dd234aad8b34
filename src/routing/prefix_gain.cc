#include "routing/prefix_gain.h"

#include <algorithm>
#include <cmath>

namespace mangohold {
namespace {

// Number of the latest samples that count: enough to tell a saving of a quarter
// of the noise.
constexpr double kWindow = 500;
// Samples of either kind before the estimate replaces the initial gain.
constexpr int kMinSamples = 20;
// Standard errors by which the estimate is lowered. Where nothing is saved, the
// gain is then 0 about 19 times in 20.
constexpr double kConfidence = 1.65;
// A lower gain counts as none.
constexpr double kMinGain = 0.05;
// A part of the variance of an input that the other inputs must not explain.
constexpr double kMinIndependence = 1e-6;

}  // namespace

void PrefixGain::Add(const Sample& sample) {
  const Values values = {sample.prefill_seconds, sample.load,
                         sample.saved_seconds, sample.observed_seconds};
  if (!std::ranges::all_of(values, [](double x) { return std::isfinite(x); })) {
    return;
  }
  ++samples_;
  int& kind = sample.saved_seconds > 0 ? with_saving_ : without_saving_;
  kind = std::min(kind + 1, kMinSamples);
  const double weight = 1 / std::min<double>(samples_, kWindow);
  samples_ = std::min(samples_, static_cast<int>(kWindow));
  Values difference{};
  for (std::size_t i = 0; i < values.size(); ++i) {
    difference[i] = values[i] - means_[i];
    means_[i] += weight * difference[i];
  }
  for (std::size_t i = 0; i < values.size(); ++i) {
    for (std::size_t j = 0; j < values.size(); ++j) {
      covariances_[i][j] =
          (1 - weight) *
          (covariances_[i][j] + weight * difference[i] * difference[j]);
    }
  }
  if (with_saving_ >= kMinSamples && without_saving_ >= kMinSamples) Update();
}

// Gaussian elimination of the other inputs from the saving, which is the last
// one, and from the result. What remains is the part that only the saving
// explains.
void PrefixGain::Update() {
  constexpr std::size_t kSaving = kInputs - 1;
  constexpr std::size_t kResult = kInputs;
  auto rest = covariances_;
  for (std::size_t pivot = 0; pivot < kSaving; ++pivot) {
    const double variance = rest[pivot][pivot];
    if (variance <= kMinIndependence * covariances_[pivot][pivot]) continue;
    for (std::size_t i = pivot + 1; i <= kResult; ++i) {
      const double factor = rest[i][pivot] / variance;
      for (std::size_t j = pivot; j <= kResult; ++j) {
        rest[i][j] -= factor * rest[pivot][j];
      }
    }
  }
  const double variance = rest[kSaving][kSaving];
  const bool is_known =
      variance > kMinIndependence * covariances_[kSaving][kSaving];
  // Samples that can't tell the saving from the rest leave the gain as it is.
  if (!is_known) return;
  const double slope = rest[kResult][kSaving] / variance;
  const double unexplained =
      std::max(0.0, rest[kResult][kResult] - slope * rest[kSaving][kResult]);
  const double error = std::sqrt(unexplained / variance / samples_);
  const double low = std::clamp(-slope - kConfidence * error, 0.0, 1.0);
  gain_ = low < kMinGain ? 0 : low;
}

}  // namespace mangohold
