#ifndef MARJORAMBEND_ADMISSION_RETRYBUDGET_H
#define MARJORAMBEND_ADMISSION_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace marjorambend {

/// \brief Parameters of the retry budget.
struct RetryOptions {
  bool IsUnlimited_ = false;    ///< Baseline without any budget.
  double ShareOfSuccess_ = 0.1; ///< Retries earned by one success.
  double MaxTokens_ = 50;       ///< Maximum number of retries accumulated.
  uint8_t MaxPerTask_ = 50;     ///< Most refusals of one task.
};

/// \brief Retries as a share of successes: a token bucket that successes fill.
struct RetryBudget {
  double Tokens_ = 10;
};

/// \brief Counts a success.
inline void earnRetry(RetryBudget &Budget, const RetryOptions &Options) {
  Budget.Tokens_ =
      std::min(Options.MaxTokens_, Budget.Tokens_ + Options.ShareOfSuccess_);
}

/// \brief Withdraws one retry from the budget.
/// \returns false if there is none left.
inline bool spendRetry(RetryBudget &Budget, const RetryOptions &Options) {
  if (Options.IsUnlimited_)
    return true;
  if (Budget.Tokens_ < 1)
    return false;
  Budget.Tokens_ -= 1;
  return true;
}

} // namespace marjorambend

#endif // MARJORAMBEND_ADMISSION_RETRYBUDGET_H
