#include "peer/held_questions.h"

#include <utility>

namespace mangohold {
namespace {

constexpr std::size_t kMostQuestions = 512;

}  // namespace

bool HeldQuestions::Take(Revision after, TimePoint now, Reply reply) {
  if (questions_.size() >= kMostQuestions || !source_(after)) return false;
  questions_.push_back(
      {.after = after, .asked = now, .reply = std::move(reply)});
  AnswerDue(now);
  return true;
}

void HeldQuestions::AnswerDue(TimePoint now) {
  std::erase_if(questions_, [this, now](const Question& question) {
    return Answer(question, now);
  });
}

// False if nothing has happened, and the question can be held longer. One that
// can't be answered any more is let go at once, since the asker knows nothing
// newer meanwhile.
bool HeldQuestions::Answer(const Question& question, TimePoint now) {
  auto relayed = source_(question.after);
  if (!relayed) {
    question.reply(std::nullopt);
    return true;
  }
  relayed->held = now - question.asked;
  if (relayed->events.events.empty() && relayed->held < options_.wait) {
    return false;
  }
  question.reply(relayed);
  return true;
}

}  // namespace mangohold
