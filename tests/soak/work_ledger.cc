#include "soak/work_ledger.h"

#include <set>
#include <utility>

namespace mangohold::testing {
namespace {

std::string ToText(const WorkAttempt& attempt, int runs) {
  return attempt.id + ": " + std::string(Name(attempt.end)) + " " +
         std::to_string(attempt.status) + ", run " + std::to_string(runs) +
         " times";
}

}  // namespace

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void WorkLedger::Add(WorkAttempt attempt) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(attempt));
}

SoakVerdict WorkLedger::Judge(const std::map<std::string, int>& runs) const {
  const std::lock_guard lock(mutex_);
  SoakVerdict verdict;
  std::map<std::string, int> piece_runs;
  std::map<std::string, std::string> piece_texts;
  std::set<std::string> asked;
  for (const WorkAttempt& attempt : attempts_) {
    const auto it = runs.find(attempt.id);
    const int count = it == runs.end() ? 0 : it->second;
    const std::string text = ToText(attempt, count);
    ++verdict.requests;
    asked.insert(attempt.id);
    verdict.runs += count;
    piece_runs[attempt.piece] += count;
    piece_texts[attempt.piece] += text + "; ";
    if (count > 1) verdict.requests_run_twice.push_back(text);
    // A caller acts on the head of an answer that is cut, too.
    if (IsPromise(attempt.status) && count > 0) {
      verdict.refused_and_run.push_back(text);
    }
    if (attempt.end != CallEnd::kAnswered) {
      auto& [all, run] = verdict.ends[attempt.end];
      ++all;
      run += count > 0 ? 1 : 0;
      continue;
    }
    if (attempt.status != 200) continue;
    ++verdict.answered;
    if (count == 0) verdict.answers_without_run.push_back(text);
    if (!attempt.is_own_answer) verdict.foreign_answers.push_back(text);
  }
  for (const auto& [id, count] : runs) {
    if (!asked.contains(id)) verdict.unasked_runs.push_back(id);
  }
  for (const auto& [piece, count] : piece_runs) {
    if (count > 1) verdict.pieces_run_twice.push_back(piece_texts[piece]);
  }
  return verdict;
}

}  // namespace mangohold::testing
