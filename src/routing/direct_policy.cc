#include "routing/direct_policy.h"

namespace mangohold {

void DirectPolicy::OnSent() {
  is_in_flight_ = true;
  ++sends_;
}

DirectPolicy::Next DirectPolicy::OnNotRun() {
  is_in_flight_ = false;
  ++rejections_;
  if (rejections_ > options_.max_rejections) return Next::kGiveUp;
  return MayRunAgain() ? Next::kSendAgain : Next::kGiveUp;
}

DirectPolicy::Next DirectPolicy::OnFailed() {
  is_in_flight_ = false;
  ++runs_;
  return MayRunAgain() ? Next::kSendAgain : Next::kGiveUp;
}

bool DirectPolicy::MayRunAgain() const {
  if (runs_ > 0 && !options_.is_repeatable) return false;
  return runs_ < options_.max_attempts;
}

Outcome DirectPolicy::GiveUpOutcome() const {
  return may_have_run() ? Outcome::kUnknown : Outcome::kNotRun;
}

}  // namespace mangohold
